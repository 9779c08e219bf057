/** Parses JSON from untrusted sources, in time linear in its length. */
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';

/** Maximum nesting depth that is accepted. */
const MAX_DEPTH = 64;

const QUOTE = 0x22;
const OPENING_BRACKET = 0x5b;
const BACKSLASH = 0x5c;
const CLOSING_BRACKET = 0x5d;
const OPENING_BRACE = 0x7b;
const CLOSING_BRACE = 0x7d;

/** Parses `text`; the error says why it is refused. */
export function parseJson(text: string): Outcome<unknown, string> {
  if (isTooDeep(text)) {
    return fail(`the body is nested deeper than ${MAX_DEPTH}`);
  }
  try {
    return succeed(JSON.parse(text) as unknown);
  } catch {
    return fail('the body is not JSON');
  }
}

/**
 * Whether brackets outside strings are nested too deeply. Each character is read
 * at most once, also of a string that does not end.
 */
function isTooDeep(text: string): boolean {
  let depth = 0;
  let isInString = false;
  for (let index = 0; index < text.length; index++) {
    const code = text.charCodeAt(index);
    if (isInString) {
      // The character after it is part of the string.
      if (code === BACKSLASH) index++;
      else if (code === QUOTE) isInString = false;
    } else if (code === QUOTE) isInString = true;
    else if (code === OPENING_BRACKET || code === OPENING_BRACE) {
      if (++depth > MAX_DEPTH) return true;
    } else if (code === CLOSING_BRACKET || code === CLOSING_BRACE) depth--;
  }
  return false;
}
