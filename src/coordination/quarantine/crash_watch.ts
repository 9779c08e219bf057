/**
 * Watches one attempt for what it shows of the parts of its prompt.
 *
 * A bad part crashes an engine that begins an answer on it. So an answer that
 * went on for a while, or is complete, speaks for its parts. A connection that
 * breaks off earlier speaks against them, also before the head of the answer
 * arrived: an engine may send it with its first token only. An error says nothing.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointAnswer} from '../forwarding/call.ts';

/** How long an answer must go on to speak for its parts, in ms. */
const SETTLE_MS = 1_000;

export interface CrashWatchOptions {
  readonly clock: Clock;
  readonly onSound: () => void;
  /** Called with when the endpoint ended, on the monotonic clock. */
  readonly onCrash: (atMs: number) => void;
}

export class CrashWatch {
  private beganAt: number | null = null;
  private isError = false;
  private isDecided = false;
  private silentSince = -Infinity;

  constructor(private readonly options: CrashWatchOptions) {}

  /** Records that the head of the answer arrived. */
  recordBegin({status}: Pick<EndpointAnswer, 'status'>): void {
    this.beganAt ??= this.options.clock.monotonic();
    this.isError = status >= 500;
  }

  /** Records that more of the answer arrived. */
  recordProgress(): void {
    if (this.beganAt === null) return;
    const ageMs = this.options.clock.monotonic() - this.beganAt;
    if (ageMs >= SETTLE_MS) this.settle();
  }

  /** Records the complete end of the answer. */
  recordEnd({isDelimited}: Pick<EndpointAnswer, 'isDelimited'>): void {
    this.recordProgress();
    if (isDelimited) this.settle();
  }

  /** Records that its connection broke off. */
  recordDisconnect(): void {
    if (this.isDecided) return;
    this.isDecided = true;
    this.options.onCrash(this.options.clock.monotonic());
  }

  /**
   * Records that a trial fell silent, as if its endpoint had ended; a sign of life
   * of the endpoint refutes that, and an answer that goes on clears its suspects.
   *
   * @param since When it fell silent, on the monotonic clock.
   */
  recordSilence(since: number): void {
    if (this.isDecided || this.isError || since === this.silentSince) return;
    this.silentSince = since;
    this.options.onCrash(since);
  }

  private settle(): void {
    if (this.isDecided || this.isError) return;
    this.isDecided = true;
    this.options.onSound();
  }
}
