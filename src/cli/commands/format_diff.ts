/** Formats the difference between two declarations. */
import {createTwoFilesPatch} from 'diff';
import {stringify} from 'smol-toml';
import type {Declaration} from '../../protocol/declaration.ts';

const CONTEXT_LINES = 3;

/** Returns a unified diff in TOML, or a sentence if nothing differs. */
export function formatDeclarationDiff(
  inForce: Declaration | null,
  next: Declaration,
): string {
  const before = inForce ? stringify(inForce) : '';
  const after = stringify(next);
  if (before === after) return 'Nothing would change.';
  return createTwoFilesPatch(
    inForce ? `version ${inForce.version} in force` : 'nothing in force',
    `version ${next.version}`,
    before,
    after,
    undefined,
    undefined,
    {context: CONTEXT_LINES},
  );
}
