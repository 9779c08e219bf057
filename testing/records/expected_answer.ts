/** The deterministic answer of every stand-in engine to a prompt. */
import {createHash} from 'node:crypto';

/** Creates the words of the answer of `version` to `prompt`. */
export function createExpectedWords(
  prompt: string,
  version: string,
  count: number,
): string[] {
  const hash = createHash('sha256').update(prompt).digest('hex').slice(0, 6);
  return Array.from(
    {length: count},
    (_, index) => `${hash}:${version}:${index} `,
  );
}
