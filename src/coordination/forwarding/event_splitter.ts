/**
 * Splits a stream of server-sent events into whole events.
 *
 * The bytes of an event are returned unchanged. Bytes after the last whole
 * event are buffered, so that a stream that breaks off inside an event can be
 * resumed at another endpoint. Each byte is scanned once, and an event that
 * exceeds {@linkcode MAX_EVENT_BYTES} is an error.
 */

/** The maximum size of an event, in bytes. */
export const MAX_EVENT_BYTES = 1024 * 1024;

/** A whole event, including the empty line that ends it. */
export interface StreamEvent {
  /** The value of its `id` field; `null` without one. */
  readonly id: string | null;
  /** Whether it has an `id` or `data` field; comments are only keep-alives. */
  readonly hasContent: boolean;
  readonly bytes: Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** The initial capacity of the buffer for a partial event, in bytes. */
const INITIAL_CAPACITY = 1024;

export class EventSplitter {
  /** Holds the partial event in its first `pendingBytes` bytes. */
  private pending = Buffer.alloc(0);
  private pendingBytes = 0;
  /** The length of the unfinished line at the end of the partial event. */
  private lineBytes = 0;
  /** Whether the partial event has only empty lines. */
  private isBlank = true;

  /** Whether bytes of a partial event are buffered. */
  get hasPartialEvent(): boolean {
    return this.pendingBytes > 0;
  }

  /** The memory that is taken for partial events, in bytes. */
  get capacity(): number {
    return this.pending.length;
  }

  /**
   * Appends bytes and returns the events that they complete.
   *
   * @throws When an event is larger than {@linkcode MAX_EVENT_BYTES}.
   */
  push(bytes: Uint8Array): StreamEvent[] {
    const input = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
    const events: StreamEvent[] = [];
    let eventStart = 0;
    let lineStart = 0;
    for (;;) {
      const feed = input.indexOf(LINE_FEED, lineStart);
      if (feed < 0) break;
      const isEmpty = this.endLine(input, lineStart, feed);
      lineStart = feed + 1;
      if (!isEmpty) this.isBlank = false;
      if (!isEmpty || this.isBlank) continue;
      events.push(this.takeEvent(input.subarray(eventStart, lineStart)));
      eventStart = lineStart;
    }
    this.lineBytes += input.length - lineStart;
    this.store(input.subarray(eventStart));
    return events;
  }

  /** Ends the line before a line feed; returns whether it is empty. */
  private endLine(input: Buffer, lineStart: number, feed: number): boolean {
    const length = this.lineBytes + feed - lineStart;
    this.lineBytes = 0;
    if (length === 0) return true;
    const last =
      feed > lineStart ? input[feed - 1] : this.pending[this.pendingBytes - 1];
    return length === 1 && last === CARRIAGE_RETURN;
  }

  private takeEvent(end: Buffer): StreamEvent {
    const bytes = Buffer.concat([
      this.pending.subarray(0, this.pendingBytes),
      end,
    ]);
    this.pendingBytes = 0;
    this.isBlank = true;
    checkSize(bytes.length);
    const text = bytes.toString('latin1');
    const id = /(?:^|\n)id:[ ]?([^\r\n]*)/.exec(text)?.[1] ?? null;
    return {id, hasContent: id !== null || /(?:^|\n)data:/.test(text), bytes};
  }

  private store(bytes: Buffer): void {
    const size = this.pendingBytes + bytes.length;
    checkSize(size);
    if (size > this.pending.length) {
      const capacity = Math.max(
        INITIAL_CAPACITY,
        size,
        this.pending.length * 2,
      );
      const larger = Buffer.alloc(capacity);
      this.pending.copy(larger, 0, 0, this.pendingBytes);
      this.pending = larger;
    }
    bytes.copy(this.pending, this.pendingBytes);
    this.pendingBytes = size;
  }
}

function checkSize(bytes: number): void {
  if (bytes <= MAX_EVENT_BYTES) return;
  throw new Error(
    `Could not read an event: it is larger than ${MAX_EVENT_BYTES} bytes`,
  );
}
