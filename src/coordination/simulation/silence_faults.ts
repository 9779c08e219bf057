/** Judges how streams went whose endpoints fell silent. */
import type {Setting, Stream} from './silence_setting.ts';
import {
  EVENT_INTERVAL_MS,
  type SilentRun,
  type SilentWorker,
} from './silent_worker.ts';

/** The grace period, and what a stopping gateway keeps of it to close. */
export const GRACE_MS = 8_000;
export const CLOSE_MARGIN_MS = 700;

/** The part of the grace period after which open answers may be ended. */
const MAY_INTERRUPT_MS = (GRACE_MS * 5) / 6;

export const TIMEOUT_MS = 25_000;
export const HISTORY_MS = 30_000;

/** How long a gateway may hold on to an endpoint that never speaks again. */
export const LEAVE_WITHIN_MS = 3_000;

/** What is wrong with how a request went. */
export interface SilenceFault {
  readonly id: string;
  readonly fault: string;
}

export interface JudgeOptions {
  readonly setting: Setting;
  readonly byId: ReadonlyMap<string, SilentWorker>;
  readonly runs: readonly SilentRun[];
}

export function findFaults(
  stream: Stream,
  options: JudgeOptions,
): SilenceFault[] {
  const faults = [
    findOrderFault(stream),
    findCutFault(stream, options),
    findOverlapFault(options),
    findHeldFault(stream, options),
    findStrandedFault(stream, options),
  ];
  return faults.flatMap(fault =>
    fault === null ? [] : [{id: stream.id, fault}],
  );
}

/** The events of all attempts must follow each other. */
function findOrderFault({sink, events}: Stream): string | null {
  const ids = [...(sink?.text ?? '').matchAll(/^id: (\d+)$/gm)];
  const isInOrder = ids.every(([, id], index) => Number(id) === index + 1);
  const isWhole = sink?.outcome !== 'whole' || ids.length === events;
  return isInOrder && isWhole ? null : 'its events are not in order';
}

/**
 * An answer may be ended only if the endpoint that made its last event could not
 * have ended it in time.
 */
function findCutFault(
  {sink, sentMs, endedMs, events}: Stream,
  {setting: {stopMs}, byId, runs}: JudgeOptions,
): string | null {
  if (sink?.outcome !== 'cut') return null;
  const holder = runs.filter(({hasSpoken}) => hasSpoken).at(-1);
  const worker = holder && byId.get(holder.endpoint);
  if (!holder || !worker) return null;
  const limitMs = Math.min(
    sentMs + TIMEOUT_MS - EVENT_INTERVAL_MS,
    stopMs === null ? Infinity : stopMs + MAY_INTERRUPT_MS,
  );
  const leftEvents = events - holder.lastEvent;
  const from = holder.abortedMs ?? endedMs;
  // Its next event was due at the latest one interval after it was left.
  const endsAt = worker.computeEnd(from, leftEvents);
  return endsAt < limitMs
    ? `ended at ${Math.round(endedMs)} ms; ${holder.endpoint} would have ended it at ${Math.round(endsAt)} ms`
    : null;
}

/** An endpoint must not work on beside its successor. */
function findOverlapFault({setting, runs}: JudgeOptions): string | null {
  // A larger model runs beside the answer that is held.
  if (setting.hasModels) return null;
  const isOverlap = runs.some((run, index) => {
    const next = runs[index + 1];
    return next && (run.abortedMs ?? Infinity) > next.startedMs;
  });
  return isOverlap ? 'two endpoints worked on it at once' : null;
}

/** An endpoint that never speaks again is left if another can take over. */
function findHeldFault(stream: Stream, options: JudgeOptions): string | null {
  const heldMs = measureHeldMs(stream, options);
  return heldMs !== null && heldMs > LEAVE_WITHIN_MS
    ? `held on to ${options.runs[0]?.endpoint} for ${Math.round(heldMs)} ms`
    : null;
}

/** An answer goes on while an endpoint that always takes requests is left. */
function findStrandedFault(
  {id, sink, sentMs, events}: Stream,
  {setting, byId, runs}: JudgeOptions,
): string | null {
  const {isBudgetEmpty, maxAttempts, hasModels, stopMs, readMs} = setting;
  if (sink?.outcome !== 'cut' || hasModels || isBudgetEmpty) return null;
  if (stopMs !== null || runs.length >= maxAttempts) return null;
  const holder = runs.filter(({hasSpoken}) => hasSpoken).at(-1);
  const worker = holder && byId.get(holder.endpoint);
  if (!holder || !worker) return null;
  const used = new Set(runs.map(({endpoint}) => endpoint));
  const other = [...byId].find(
    ([endpoint, each]) => !used.has(endpoint) && isAlwaysOpen(each),
  );
  if (!other) return null;
  const fromMs = holder.abortedMs ?? findDeath(worker);
  const leftMs = (events - holder.lastEvent) * EVENT_INTERVAL_MS;
  const endsAt = fromMs + LEAVE_WITHIN_MS + (readMs.get(id) ?? 0) + leftMs;
  return endsAt < sentMs + TIMEOUT_MS
    ? `was ended, though ${other[0]} takes all requests`
    : null;
}

/** Whether an endpoint takes all requests and is never silent. */
function isAlwaysOpen(worker: SilentWorker): boolean {
  return worker.isOpen && !worker.isSilentWithin(0, HISTORY_MS);
}

/**
 * Measures how long a stream stayed at its first endpoint after that fell silent
 * for good, in ms; `null` if it did not, or no other one could take over.
 */
export function measureHeldMs(
  {endedMs}: Stream,
  {setting, byId, runs}: JudgeOptions,
): number | null {
  const {isBudgetEmpty, maxAttempts, hasModels, stopMs, workers} = setting;
  const [run] = runs;
  if (!run || hasModels || isBudgetEmpty || stopMs !== null) return null;
  if (maxAttempts < 2) return null;
  const worker = byId.get(run.endpoint);
  if (!worker || worker.findSpeech(HISTORY_MS) < Infinity) return null;
  const fromMs = findDeath(worker);
  const hasOther = workers.some(
    each => each.isOpen && !each.isSilentWithin(fromMs, LEAVE_WITHIN_MS),
  );
  if (!run.hasSpoken || !hasOther) return null;
  if (fromMs >= endedMs) return null;
  return Math.min(run.abortedMs ?? Infinity, endedMs) - fromMs;
}

/** Returns from when on an endpoint never speaks again. */
function findDeath(worker: SilentWorker): number {
  for (let atMs = 0; atMs < HISTORY_MS; atMs++) {
    if (worker.findSpeech(atMs) === Infinity) return atMs;
  }
  return Infinity;
}
