/**
 * Reports what a daemon's work costs: its processor time, how late its event
 * loop is, its calls to other daemons with their bytes, and the entries that they
 * carry by field.
 *
 * Logs a line at an interval, and at once while the event loop is late.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {EntryCounts} from '../../coordination/core/entry_meter.ts';
import type {CallTraffic} from '../../transport/peers/traffic_meter.ts';

/** The interval between two checks. */
const CHECK_INTERVAL_MS = 1_000;

/** The interval between two lines while the event loop is in time. */
const LOG_INTERVAL_MS = 10_000;

/** A check that is later than this is logged. */
const LATE_MS = 100;

const MICROSECONDS_PER_MS = 1_000;

export interface LoadWatchOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns the processor time that this process has used, in µs. */
  readonly readUsage: () => {readonly user: number; readonly system: number};
  /** Returns the calls to other daemons since its last call. */
  readonly takeTraffic: () => ReadonlyMap<string, CallTraffic>;
  /** Returns the entries that daemons told each other since its last call. */
  readonly takeEntries: () => ReadonlyMap<string, EntryCounts>;
}

/** Starts the watch; dispose it to stop. */
export function startLoadWatch(options: LoadWatchOptions): Disposable {
  const stopped = new AbortController();
  void runWatch(options, stopped.signal);
  return {[Symbol.dispose]: () => stopped.abort('stopped')};
}

async function runWatch(
  {
    clock,
    logger,
    metrics,
    readUsage,
    takeTraffic,
    takeEntries,
  }: LoadWatchOptions,
  signal: AbortSignal,
): Promise<void> {
  const readBusyMs = () => {
    const {user, system} = readUsage();
    return (user + system) / MICROSECONDS_PER_MS;
  };
  let loggedAt = clock.monotonic();
  let loggedBusyMs = readBusyMs();
  let mostLateMs = 0;
  for (;;) {
    const dueAt = clock.monotonic() + CHECK_INTERVAL_MS;
    await clock.sleep(CHECK_INTERVAL_MS, signal);
    if (signal.aborted) return;
    const now = clock.monotonic();
    const lateMs = Math.max(0, now - dueAt);
    mostLateMs = Math.max(mostLateMs, lateMs);
    metrics.gauge('event_loop_late_ms', lateMs);
    if (lateMs < LATE_MS && now - loggedAt < LOG_INTERVAL_MS) continue;
    const busyMs = readBusyMs();
    const coreShare = (busyMs - loggedBusyMs) / (now - loggedAt);
    metrics.gauge('core_share', coreShare);
    const traffic = takeTraffic();
    for (const [call, {calls, sentBytes, receivedBytes}] of traffic) {
      metrics.count('peer_calls', calls, {call});
      metrics.count('peer_bytes', sentBytes, {call, way: 'sent'});
      metrics.count('peer_bytes', receivedBytes, {call, way: 'received'});
    }
    const entries = takeEntries();
    for (const [message, counts] of entries) {
      for (const [field, count] of Object.entries(counts)) {
        metrics.count('peer_entries', count, {message, field});
      }
    }
    logger.info('Reports the load of this daemon.', {
      overMs: Math.round(now - loggedAt),
      coreShare: Number(coreShare.toFixed(3)),
      lateMs: Math.round(mostLateMs),
      calls: Object.fromEntries(
        [...traffic].map(([call, {calls, sentBytes, receivedBytes}]) => [
          call,
          [calls, sentBytes, receivedBytes],
        ]),
      ),
      entries: Object.fromEntries(entries),
    });
    loggedAt = now;
    loggedBusyMs = busyMs;
    mostLateMs = 0;
  }
}
