/**
 * Finds out by its text whether JSON is too large to be parsed: parsing and
 * validating take many times the memory of the text.
 *
 * @example
 * const excess = findExcess(text, {maxDepth: 64});
 * if (excess !== null) return fail(`too much ${excess}`);
 */

export interface JsonBounds {
  /** Maximum nesting depth of lists and objects; unbounded by default. */
  readonly maxDepth?: number;
  /** Maximum number of values; empty lists and objects count twice. */
  readonly maxValues?: number;
}

const QUOTE = 0x22;
const COMMA = 0x2c;
const OPENING_BRACKET = 0x5b;
const BACKSLASH = 0x5c;
const CLOSING_BRACKET = 0x5d;
const OPENING_BRACE = 0x7b;
const CLOSING_BRACE = 0x7d;

/**
 * Returns the bound that a text exceeds; `null` if it exceeds none. Each character
 * is read at most once, also of a string that does not end.
 */
export function findExcess(
  text: string,
  {maxDepth = Infinity, maxValues = Infinity}: JsonBounds,
): 'depth' | 'values' | null {
  let depth = 0;
  // Each value but the outermost follows a comma or an opening bracket.
  let values = 0;
  let isInString = false;
  for (let index = 0; index < text.length; index++) {
    const code = text.charCodeAt(index);
    if (isInString) {
      // The character after it is part of the string.
      if (code === BACKSLASH) index++;
      else if (code === QUOTE) isInString = false;
    } else if (code === QUOTE) isInString = true;
    else if (code === COMMA) values++;
    else if (code === OPENING_BRACKET || code === OPENING_BRACE) {
      values++;
      if (++depth > maxDepth) return 'depth';
    } else if (code === CLOSING_BRACKET || code === CLOSING_BRACE) depth--;
    if (values > maxValues) return 'values';
  }
  return null;
}
