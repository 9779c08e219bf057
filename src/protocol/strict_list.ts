/**
 * Validates lists of which each entry must be valid.
 *
 * An error takes many times the memory of the entry that it is about. A list with
 * many invalid entries is therefore not validated to its end.
 *
 * @example
 * const schema = z.object({names: createStrictList(z.string())});
 */
import * as z from 'zod';

/** Invalid entries of a list after which the others are not validated. */
const MAX_INVALID_ENTRIES = 3;

/** Creates the schema of a list that is invalid if one of its entries is. */
export function createStrictList<T extends z.ZodType>(entry: T) {
  return z.array(z.unknown()).transform((items, context) => {
    const values: Array<z.output<T>> = [];
    let invalidCount = 0;
    for (const [index, item] of items.entries()) {
      const parsed = entry.safeParse(item);
      if (parsed.success) {
        values.push(parsed.data);
        continue;
      }
      for (const issue of parsed.error.issues) {
        context.addIssue({...issue, path: [index, ...issue.path]});
      }
      if (++invalidCount >= MAX_INVALID_ENTRIES) break;
    }
    return invalidCount > 0 ? z.NEVER : values;
  });
}
