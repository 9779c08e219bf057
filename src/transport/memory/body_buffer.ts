/**
 * Keeps a body in few buffers, whatever its chunks.
 *
 * A large chunk is kept as it is and small ones are copied into segments. A single
 * buffer that grows would leave as much garbage as the body has bytes.
 */

/** A smaller chunk is copied. */
const MIN_KEPT_BYTES = 8 * 1024;

/** The size of a segment of small chunks. */
const SEGMENT_BYTES = 16 * 1024;

/** What a buffer takes beside its bytes. */
const BUFFER_OVERHEAD_BYTES = 128;

export class BodyBuffer {
  private readonly buffers: Buffer[] = [];
  /** The last buffer while it has room; its first `used` bytes are in use. */
  private segment: Buffer | null = null;
  private used = 0;
  private heldBytes = 0;
  private length = 0;

  /** What the buffers take of memory, in bytes. */
  get costBytes(): number {
    return this.heldBytes;
  }

  /** The number of buffers. */
  get count(): number {
    return this.buffers.length;
  }

  /** Computes what the buffers would take with `chunk`, in bytes. */
  computeCost(chunk: Buffer): number {
    if (this.fits(chunk)) return this.heldBytes;
    const isKept = this.isKept(chunk);
    return (
      this.heldBytes +
      BUFFER_OVERHEAD_BYTES +
      (isKept ? chunk.length : SEGMENT_BYTES)
    );
  }

  /** Adds the next chunk, which must not change any more. */
  add(chunk: Buffer): void {
    this.heldBytes = this.computeCost(chunk);
    this.length += chunk.length;
    if (this.segment && this.fits(chunk)) {
      this.used += chunk.copy(this.segment, this.used);
      return;
    }
    this.closeSegment();
    if (this.isKept(chunk)) {
      this.buffers.push(chunk);
      return;
    }
    this.segment = Buffer.allocUnsafeSlow(SEGMENT_BYTES);
    this.buffers.push(this.segment);
    this.used = chunk.copy(this.segment);
  }

  /** What `join()` allocates, in bytes. */
  computeJoinCost(): number {
    if (this.buffers.length <= 1) return 0;
    return this.length + BUFFER_OVERHEAD_BYTES;
  }

  /** Returns the whole body. */
  join(): Buffer {
    this.closeSegment();
    const [only] = this.buffers;
    return this.buffers.length === 1 && only
      ? only
      : Buffer.concat(this.buffers);
  }

  clear(): void {
    this.buffers.length = 0;
    this.segment = null;
    this.heldBytes = 0;
    this.length = 0;
  }

  private fits({length}: Buffer): boolean {
    return this.segment !== null && this.used + length <= SEGMENT_BYTES;
  }

  /** Whether a chunk that does not fit is kept as it is. */
  private isKept({length}: Buffer): boolean {
    // Most bodies have one chunk, which is not copied.
    return length >= MIN_KEPT_BYTES || this.buffers.length === 0;
  }

  private closeSegment(): void {
    if (!this.segment) return;
    this.buffers[this.buffers.length - 1] = this.segment.subarray(0, this.used);
    this.segment = null;
  }
}
