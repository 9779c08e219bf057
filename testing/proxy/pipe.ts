/** One direction of a connection through the proxy. */
import type {Socket} from 'node:net';

/** The capacity of a link that several connections share, one way. */
export class SharedLink {
  private freeAt = 0;

  /** @param bytesPerSecond How much passes in a second. */
  constructor(private readonly bytesPerSecond: number) {}

  /** Takes the link for `bytes`; returns the wait in milliseconds. */
  reserve(bytes: number): number {
    const now = performance.now();
    const start = Math.max(now, this.freeAt);
    this.freeAt = start + (bytes * 1_000) / this.bytesPerSecond;
    return this.freeAt - now;
  }
}

/** Shorter waits than this are not worth a timer. */
const TIMER_RESOLUTION_MS = 0.5;

export interface PipeOptions {
  readonly delayMs: number;
  readonly link?: SharedLink;
  readonly onBytes: (bytes: number) => void;
  /** The connection ends after this many bytes. */
  readonly maxBytes?: number;
  /** Sends each piece twice. */
  readonly isDuplicated?: boolean;
}

/** Carries bytes from one socket to another. */
export class Pipe {
  private isSilent = false;
  private isHeld = false;
  private forwardedBytes = 0;
  private dueAt = 0;
  private readonly queue: Array<{dueAt: number; action: () => void}> = [];

  constructor(
    private readonly source: Socket,
    private readonly target: Socket,
    private readonly options: PipeOptions,
  ) {
    source.setNoDelay(true);
    source.on('data', data => this.receive(data));
    source.on('end', () => this.schedule(0, () => target.end()));
    target.on('drain', () => source.resume());
  }

  get silent(): boolean {
    return this.isSilent;
  }

  /** Drops all bytes and the end from now on. */
  silence(): void {
    this.isSilent = true;
  }

  /** Keeps bytes back until they are released. */
  hold(): void {
    this.isHeld = true;
  }

  /** Passes on what was held. */
  release(): void {
    this.isHeld = false;
    this.drain();
  }

  /** Whether bytes wait for their release. */
  get holdsBytes(): boolean {
    return this.isHeld && this.queue.length > 0;
  }

  /** Closes the target once all bytes have passed. */
  close(): void {
    this.schedule(0, () => this.target.destroy());
  }

  private receive(data: Buffer): void {
    this.options.onBytes(data.length);
    this.schedule(data.length, () => this.forward(data));
  }

  private forward(data: Buffer): void {
    if (this.target.destroyed) return;
    const {maxBytes = Infinity, isDuplicated} = this.options;
    const remainingBytes = maxBytes - this.forwardedBytes;
    this.forwardedBytes += data.length;
    if (remainingBytes < data.length) {
      this.target.end(data.subarray(0, Math.max(0, remainingBytes)));
      this.source.destroy();
      return;
    }
    if (isDuplicated) this.target.write(data);
    if (!this.target.write(data)) this.source.pause();
  }

  /** Runs `action` when the bytes before it have passed. */
  private schedule(bytes: number, action: () => void): void {
    const {delayMs, link} = this.options;
    const now = performance.now();
    const waitMs = delayMs + (link && bytes > 0 ? link.reserve(bytes) : 0);
    this.dueAt = Math.max(this.dueAt, now + waitMs);
    this.queue.push({dueAt: this.dueAt, action});
    if (this.queue.length === 1) this.drain();
  }

  /** Runs what is due and waits for the rest, one timer at a time. */
  private drain(): void {
    if (this.isHeld) return;
    for (let first = this.queue[0]; first; first = this.queue[0]) {
      const remainingMs = first.dueAt - performance.now();
      if (remainingMs > TIMER_RESOLUTION_MS) {
        setTimeout(() => this.drain(), remainingMs);
        return;
      }
      if (!this.isSilent) first.action();
      this.queue.shift();
    }
  }
}
