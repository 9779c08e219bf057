/**
 * Follows the framing of a chunked body in bytes that arrive in any pieces.
 *
 * It only counts. Bytes that are no valid framing are passed on as well, and the HTTP
 * parser refuses them.
 */
const LF = 0x0a;

type State = 'size' | 'extension' | 'data' | 'data-end' | 'trailers';

export class ChunkScanner {
  private state: State = 'size';
  private sizeBytes = 0;
  private leftBytes = 0;

  /** Whether the last chunk was scanned, after which trailers follow. */
  get isAtTrailers(): boolean {
    return this.state === 'trailers';
  }

  /**
   * Scans further bytes, and stops after `maxChunks` chunks or the last one.
   *
   * @returns The index after what was scanned.
   */
  scan(bytes: Buffer, maxChunks: number): number {
    let at = 0;
    for (let chunks = 0; at < bytes.length;) {
      switch (this.state) {
        case 'size':
          at = this.scanSize(bytes, at);
          break;
        case 'extension': {
          const lineEnd = bytes.indexOf(LF, at);
          if (lineEnd < 0) return bytes.length;
          at = lineEnd + 1;
          this.leftBytes = this.sizeBytes;
          this.state = this.sizeBytes === 0 ? 'trailers' : 'data';
          this.sizeBytes = 0;
          if (this.isAtTrailers) return at;
          break;
        }
        case 'data': {
          const taken = Math.min(this.leftBytes, bytes.length - at);
          at += taken;
          this.leftBytes -= taken;
          if (this.leftBytes === 0) this.state = 'data-end';
          break;
        }
        case 'data-end': {
          const lineEnd = bytes.indexOf(LF, at);
          if (lineEnd < 0) return bytes.length;
          at = lineEnd + 1;
          this.state = 'size';
          if (++chunks === maxChunks) return at;
          break;
        }
        case 'trailers':
          return at;
      }
    }
    return at;
  }

  private scanSize(bytes: Buffer, start: number): number {
    for (let at = start; at < bytes.length; at++) {
      const digit = parseHexDigit(bytes[at] ?? 0);
      if (digit < 0) {
        this.state = 'extension';
        return at;
      }
      this.sizeBytes = this.sizeBytes * 16 + digit;
    }
    return bytes.length;
  }
}

/** Parses the code of a hexadecimal digit; -1 if it is none. */
function parseHexDigit(code: number): number {
  if (code >= 0x30 && code <= 0x39) return code - 0x30;
  const letter = code | 0x20;
  return letter >= 0x61 && letter <= 0x66 ? letter - 0x57 : -1;
}
