/** Parses JSON from untrusted sources. */
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';

/** Maximum nesting depth that is accepted. */
const MAX_DEPTH = 64;

/** Parses `text`; the error says why it is refused. */
export function parseJson(text: string): Outcome<unknown, string> {
  if (measureDepth(text) > MAX_DEPTH) {
    return fail(`the body is nested deeper than ${MAX_DEPTH}`);
  }
  try {
    return succeed(JSON.parse(text) as unknown);
  } catch {
    return fail('the body is not JSON');
  }
}

/** Returns the maximum nesting depth of brackets outside strings. */
function measureDepth(text: string): number {
  let depth = 0;
  let deepest = 0;
  for (const [token] of text.matchAll(/"(?:[^"\\]|\\.)*"|[[\]{}]/g)) {
    if (token === '[' || token === '{') deepest = Math.max(deepest, ++depth);
    else if (token === ']' || token === '}') depth--;
  }
  return deepest;
}
