/**
 * Cuts the bytes of an event stream into whole events.
 *
 * The bytes of an event are passed on as they came. What follows the last
 * whole event is kept back, so that a stream that breaks off inside an event
 * can go on elsewhere.
 */

/** A whole event, with the empty line that ends it. */
export interface StreamEvent {
  /** The value of its `id` field; `null` without one. */
  readonly id: string | null;
  readonly bytes: Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Whether bytes of an unfinished event are kept back. */
  get hasRest(): boolean {
    return this.rest.length > 0;
  }

  /** Takes bytes and returns the events that they complete. */
  push(bytes: Uint8Array): StreamEvent[] {
    this.rest =
      this.rest.length === 0
        ? Buffer.from(bytes)
        : Buffer.concat([this.rest, bytes]);
    const events: StreamEvent[] = [];
    for (;;) {
      const end = findEventEnd(this.rest);
      if (end < 0) return events;
      const event = this.rest.subarray(0, end);
      this.rest = this.rest.subarray(end);
      events.push({id: readId(event), bytes: event});
    }
  }
}

/** The position behind the first empty line that ends an event, or -1. */
function findEventEnd(bytes: Buffer): number {
  let lineStart = 0;
  let isEmpty = true;
  for (;;) {
    const feed = bytes.indexOf(LINE_FEED, lineStart);
    if (feed < 0) return -1;
    const length =
      feed > lineStart && bytes[feed - 1] === CARRIAGE_RETURN
        ? feed - 1 - lineStart
        : feed - lineStart;
    if (length === 0 && !isEmpty) return feed + 1;
    if (length > 0) isEmpty = false;
    lineStart = feed + 1;
  }
}

function readId(event: Buffer): string | null {
  const match = /(?:^|\n)id:[ ]?([^\r\n]*)/.exec(event.toString('latin1'));
  return match?.[1] ?? null;
}
