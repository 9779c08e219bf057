/**
 * Watches how well the host of a gateway bears its work, for the directory.
 *
 * A daemon of which several hosts share a machine sees neighbours only by what they
 * take from it: its event loop is late.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import {computeCapacity, type HostLimits} from './compute_capacity.ts';
import {evaluateSlowness, type HostSample} from './evaluate_slowness.ts';
import {SlownessLevel} from './slowness_level.ts';

/** How long a watch that is not needed rests. */
const IDLE_MS = 2_000;

/** The length of a window. */
const WINDOW_MS = 500;

/** The interval between two ticks of the event loop that are counted. */
export const TICK_MS = 50;

const MICROSECONDS_PER_MS = 1_000;
const BYTES_PER_MIB = 1024 * 1024;

export interface HostWatchOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns what the host bears; a reload of the settings may change it. */
  readonly getLimits: () => HostLimits;
  /** Whether anybody weighs what hosts bear; looked at again while nobody does. */
  readonly isNeeded: () => boolean;
  /** Counts the ticks of the event loop while enabled, `TICK_MS` apart at best. */
  readonly ticks: TickCounter;
  /** Returns the processor time that this process has used, in µs. */
  readonly readUsage: () => {readonly user: number; readonly system: number};
  /** Returns the memory that this process has resident, in bytes. */
  readonly readMemoryBytes: () => number;
  readonly countOpenRequests: () => number;
  /** Called when the level changed, which the core should learn soon. */
  readonly onChange: () => void;
}

/** Counts ticks of the event loop; each one wakes the process. */
export interface TickCounter {
  enable(): void;
  disable(): void;
  readonly count: number;
}

/** What a gateway reports of its host. */
export interface HostReport {
  readonly capacity?: number;
  readonly slowness?: number;
}

export class HostWatch implements Disposable {
  private readonly stopped = new AbortController();
  private readonly level = new SlownessLevel();

  constructor(private readonly options: HostWatchOptions) {}

  /** Starts the watch; dispose it to stop. */
  start(): void {
    void this.run(this.stopped.signal);
  }

  [Symbol.dispose](): void {
    this.stopped.abort('stopped');
  }

  /** Describes the host for the directory; without what is unknown or usual. */
  describe(): HostReport {
    const capacity = computeCapacity(this.options.getLimits());
    const {level} = this.level.current;
    return {
      ...(capacity === undefined ? {} : {capacity}),
      ...(level === 0 ? {} : {slowness: level}),
    };
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock, ticks: counter, isNeeded} = this.options;
    for (;;) {
      if (!isNeeded()) {
        counter.disable();
        await clock.sleep(IDLE_MS, signal);
        if (signal.aborted) return;
        continue;
      }
      counter.enable();
      const startedAt = clock.monotonic();
      const ticks = counter.count;
      const busyMs = this.readBusyMs();
      await clock.sleep(WINDOW_MS, signal);
      if (signal.aborted) break;
      const elapsedMs = Math.max(1, clock.monotonic() - startedAt);
      this.record({
        punctuality: ((counter.count - ticks) * TICK_MS) / elapsedMs,
        coreShare: (this.readBusyMs() - busyMs) / elapsedMs,
        memoryMib: this.options.readMemoryBytes() / BYTES_PER_MIB,
        openRequests: this.options.countOpenRequests(),
      });
    }
    counter.disable();
  }

  private readBusyMs(): number {
    const {user, system} = this.options.readUsage();
    return (user + system) / MICROSECONDS_PER_MS;
  }

  private record(sample: HostSample): void {
    const {clock, logger, metrics, getLimits, onChange} = this.options;
    const {level: before} = this.level.current;
    const shown = evaluateSlowness(sample, getLimits(), before);
    const hasChanged = this.level.record(shown, clock.monotonic());
    const {level, cause} = this.level.current;
    metrics.gauge('host_slowness', level);
    metrics.gauge('host_punctuality', sample.punctuality);
    if (!hasChanged) return;
    logger.info('Changes the share of callers that its host can bear.', {
      level,
      before,
      cause,
      capacity: computeCapacity(getLimits()) ?? null,
      punctuality: Number(sample.punctuality.toFixed(2)),
      coreShare: Number(sample.coreShare.toFixed(3)),
      memoryMib: Math.round(sample.memoryMib),
      openRequests: sample.openRequests,
    });
    onChange();
  }
}
