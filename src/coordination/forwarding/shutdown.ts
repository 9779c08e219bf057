/**
 * Bounds the requests of a gateway that shuts down: what cannot be expected to
 * end within the grace period is not begun, and what is still open at its end is
 * told so.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {CallRun} from './call_run.ts';
import {RouteDurations} from './route_durations.ts';

export interface BeginOptions {
  /**
   * When callers that return choose other gateways, on the monotonic clock;
   * at once by default.
   */
  readonly returnAt?: number;
}

/** The shutdown of a gateway, which may not have begun. */
export class Shutdown {
  private readonly durations = new RouteDurations();
  private readonly handlers = new Set<() => void>();
  private endsAt = Infinity;
  private returnAt = -Infinity;
  private hasAborted = false;

  constructor(private readonly clock: Clock) {}

  /** Whether open requests must end now. */
  get isAborted(): boolean {
    return this.hasAborted;
  }

  /** Begins it; `endsAt` is when open requests end, on the monotonic clock. */
  begin(endsAt: number, {returnAt = -Infinity}: BeginOptions = {}): void {
    this.endsAt = endsAt;
    this.returnAt = returnAt;
  }

  /** When callers of refused requests should retry, in ms from now. */
  get retryAfterMs(): number {
    return Math.max(0, this.returnAt - this.clock.monotonic());
  }

  /** Records a request that has ended. */
  record(run: CallRun): void {
    // One that was not passed on tells nothing of the endpoints' time.
    if (run.runs === 0) return;
    this.durations.record(run, this.clock.monotonic() - run.call.receivedAt);
  }

  /**
   * Whether an attempt that starts in `delayMs` is expected to end in time: by
   * the usual time of its route, or at the latest by its deadline.
   */
  canEnd(run: CallRun, delayMs = 0): boolean {
    if (this.hasAborted) return false;
    if (this.endsAt === Infinity) return true;
    const leftMs = this.endsAt - this.clock.monotonic();
    const limitMs = run.admitted.deadline - this.clock.monotonic();
    const expectedMs = delayMs + this.durations.estimateLeft(run);
    return Math.min(expectedMs, limitMs) <= leftMs;
  }

  /** Ends the open requests: calls all handlers. */
  abort(): void {
    this.hasAborted = true;
    for (const handler of [...this.handlers]) handler();
  }

  /** Calls a handler at `abort()`, until the result is disposed of. */
  handleAbort(handler: () => void): Disposable {
    this.handlers.add(handler);
    return {[Symbol.dispose]: () => void this.handlers.delete(handler)};
  }
}
