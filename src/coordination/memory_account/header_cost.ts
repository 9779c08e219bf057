/** Computes what the header section of a request takes of memory. */

/** A header line as two strings, in the lists and maps that are made of it. */
const LINE_BYTES = 320;

/** Each byte is held as received, and as text. */
const BYTE_FACTOR = 2;

/** What the memory of any request includes for its header section. */
const ORDINARY_BYTES = 16 * 1024;

/** The shortest line has a name of one byte, a colon and a line feed. */
const MIN_LINE_BYTES = 3;

export interface HeaderSize {
  /** The number of lines, the request line included. */
  readonly lines: number;
  readonly bytes: number;
}

/** Computes the cost in bytes; 0 for a section of an ordinary size. */
export function computeHeaderCost({lines, bytes}: HeaderSize): number {
  const cost = lines * LINE_BYTES + bytes * BYTE_FACTOR;
  return cost <= ORDINARY_BYTES ? 0 : cost;
}

/** Computes the cost of the most expensive section of `maxBytes`, in bytes. */
export function computeLargestHeaderCost(maxBytes: number): number {
  // The request line may have as many bytes as the lines after it.
  const lines = 1 + Math.ceil(maxBytes / MIN_LINE_BYTES);
  return computeHeaderCost({lines, bytes: 2 * maxBytes});
}
