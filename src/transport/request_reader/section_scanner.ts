/**
 * Finds the end of a header or trailer section in bytes that arrive in any pieces,
 * and counts its lines, before an HTTP parser makes anything of them.
 */
import type {HeaderSize} from '../../coordination/memory_account/header_cost.ts';

const CR = 0x0d;
const LF = 0x0a;

export class SectionScanner implements HeaderSize {
  lines = 0;
  bytes = 0;
  /** Bytes of the first line, with its end. */
  firstLineBytes = 0;
  /** Bytes of the line that has not ended. */
  private openBytes = 0;
  /** Whether the line that has not ended consists of a CR. */
  private isOpenCr = false;

  /** The bytes of the first line, or of those after it if they have more. */
  get longestPartBytes(): number {
    if (this.lines === 0) return this.bytes;
    return Math.max(this.firstLineBytes, this.bytes - this.firstLineBytes);
  }

  /**
   * Scans further bytes from `start` on.
   *
   * @returns The index after the empty line that ends the section; -1 if it goes on.
   */
  scan(bytes: Buffer, start = 0): number {
    for (let at = start; at < bytes.length;) {
      const lineEnd = bytes.indexOf(LF, at);
      const end = lineEnd < 0 ? bytes.length : lineEnd;
      const isCr = this.openBytes === 0 && end - at === 1 && bytes[at] === CR;
      const lineBytes = this.openBytes + end - at;
      if (lineEnd < 0) {
        this.openBytes = lineBytes;
        this.isOpenCr = isCr;
        this.bytes += end - at;
        return -1;
      }
      const isEmpty =
        lineBytes === 0 ||
        isCr ||
        (lineBytes === 1 && this.openBytes === 1 && this.isOpenCr);
      const openBytes = this.openBytes;
      this.openBytes = 0;
      this.isOpenCr = false;
      if (isEmpty) {
        // The empty line is no part of what is bounded.
        this.bytes -= openBytes;
        return end + 1;
      }
      this.bytes += end + 1 - at;
      at = end + 1;
      if (this.lines === 0) this.firstLineBytes = this.bytes;
      this.lines++;
    }
    return -1;
  }
}

/** Counts the bytes of the empty lines at the beginning of `bytes`. */
export function countEmptyLineBytes(bytes: Buffer): number {
  let count = 0;
  while (bytes[count] === CR || bytes[count] === LF) count++;
  return count;
}
