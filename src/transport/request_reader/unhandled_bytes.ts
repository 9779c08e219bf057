/** Keeps what was read from a socket and not handled, in few buffers. */
import type {Readable} from 'node:stream';
import {BodyBuffer} from '../memory/body_buffer.ts';

/** What is read of a connection that may not go on, to notice its end. */
const MAX_AHEAD_BYTES = 64 * 1024;

export class UnhandledBytes {
  /** What comes first, in one buffer. */
  private first: Buffer | null = null;
  /** What was read after that. */
  private readonly ahead = new BodyBuffer();

  constructor(private readonly source: Pick<Readable, 'read' | 'unshift'>) {}

  /** What the buffers take of memory, in bytes. */
  get costBytes(): number {
    return (this.first?.length ?? 0) + this.ahead.costBytes;
  }

  get isEmpty(): boolean {
    return this.first === null && this.ahead.count === 0;
  }

  /** Returns the next bytes, which stay unhandled; `null` if there are none. */
  peek(): Buffer | null {
    if (this.first) return this.first;
    if (this.ahead.count > 0) {
      this.first = this.ahead.join();
      this.ahead.clear();
    } else {
      this.first = this.source.read() as Buffer | null;
    }
    return this.first;
  }

  /** Drops the first bytes of what `peek()` returned, as they were handled. */
  drop(count: number): void {
    const {first} = this;
    this.first = first && count < first.length ? first.subarray(count) : null;
  }

  /** Reads on while nothing is handled. */
  readAhead(): void {
    while (this.ahead.costBytes < MAX_AHEAD_BYTES) {
      const bytes = this.source.read() as Buffer | null;
      if (!bytes) return;
      this.ahead.add(bytes);
    }
  }

  /** Returns all bytes to the source. */
  restore(): void {
    if (this.ahead.count > 0) this.source.unshift(this.ahead.join());
    if (this.first) this.source.unshift(this.first);
    this.clear();
  }

  clear(): void {
    this.first = null;
    this.ahead.clear();
  }
}
