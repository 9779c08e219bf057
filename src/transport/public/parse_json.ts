/** Parses JSON from untrusted sources, in time linear in its length. */
import {findExcess} from '../../protocol/find_excess.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';

/** Maximum nesting depth that is accepted. */
const MAX_DEPTH = 64;

/** Parses `text`; the error says why it is refused. */
export function parseJson(text: string): Outcome<unknown, string> {
  if (findExcess(text, {maxDepth: MAX_DEPTH}) !== null) {
    return fail(`the body is nested deeper than ${MAX_DEPTH}`);
  }
  try {
    return succeed(JSON.parse(text) as unknown);
  } catch {
    return fail('the body is not JSON');
  }
}
