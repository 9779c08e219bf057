/** Forwards one direction of a proxied connection. */
import type {Socket} from 'node:net';

/** Bandwidth in one direction, shared by several connections. */
export class SharedLink {
  private freeAt = 0;

  constructor(private readonly bytesPerSecond: number) {}

  /** Reserves the link for `bytes`; returns the delay in milliseconds. */
  reserve(bytes: number): number {
    const now = performance.now();
    const start = Math.max(now, this.freeAt);
    this.freeAt = start + (bytes * 1_000) / this.bytesPerSecond;
    return this.freeAt - now;
  }
}

/** Actions due within this time run at once rather than on a timer. */
const TIMER_RESOLUTION_MS = 0.5;

export interface PipeOptions {
  readonly delayMs: number;
  readonly link?: SharedLink;
  readonly onBytes: (bytes: number) => void;
  /** Closes the connection after this many bytes. */
  readonly maxBytes?: number;
  /** Whether each chunk is sent twice. */
  readonly isDuplicated?: boolean;
}

/** Forwards bytes from one socket to another. */
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

  /** Drops all further bytes and the end of the stream. */
  silence(): void {
    this.isSilent = true;
  }

  /** Queues bytes until `release` is called. */
  hold(): void {
    this.isHeld = true;
  }

  /** Forwards the held bytes. */
  release(): void {
    this.isHeld = false;
    this.drain();
  }

  /** Whether the pipe is held and bytes are queued. */
  get holdsBytes(): boolean {
    return this.isHeld && this.queue.length > 0;
  }

  /** Destroys the target socket after all queued bytes are forwarded. */
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

  /** Queues `action` behind earlier ones, after latency and bandwidth. */
  private schedule(bytes: number, action: () => void): void {
    const {delayMs, link} = this.options;
    const now = performance.now();
    const waitMs = delayMs + (link && bytes > 0 ? link.reserve(bytes) : 0);
    this.dueAt = Math.max(this.dueAt, now + waitMs);
    this.queue.push({dueAt: this.dueAt, action});
    if (this.queue.length === 1) this.drain();
  }

  /** Runs the actions that are due and sets one timer for the next. */
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
