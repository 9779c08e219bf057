/**
 * Plays a drawn history of one gateway whose endpoints fall silent while their
 * streams are relayed, beside a planned stop and changes of the configuration,
 * with full and empty retry budgets.
 */
import {createDraws, type Draws} from '../../protocol/seeded_draws.ts';
import {
  createEndpoint,
  createFollowReply,
  createRoute,
  FakeGateway,
} from '../forwarding/forwarding_fakes.ts';
import type {RecordingSink} from '../forwarding/recording_sink_fake.ts';
import {
  EVENT_INTERVAL_MS,
  SilentWorker,
  type SilentRun,
} from './silent_worker.ts';

/** The grace period, and what a stopping gateway keeps of it to close. */
const GRACE_MS = 8_000;
const CLOSE_MARGIN_MS = 700;

/** The part of the grace period after which open answers may be ended. */
const MAY_INTERRUPT_MS = (GRACE_MS * 5) / 6;

const TIMEOUT_MS = 25_000;
const HISTORY_MS = 30_000;

/** How long a gateway may hold on to an endpoint that never speaks again. */
export const LEAVE_WITHIN_MS = 3_000;

/** What is wrong with how a request went. */
export interface SilenceFault {
  readonly id: string;
  readonly fault: string;
}

export interface SilenceFigures {
  readonly seed: number;
  readonly setting: string;
  readonly whole: number;
  readonly cut: number;
  readonly resumed: number;
  /** Streams whose first endpoint fell silent for good and had to be left. */
  readonly deserted: number;
  readonly faults: readonly SilenceFault[];
}

interface Stream {
  readonly id: string;
  readonly sentMs: number;
  readonly events: number;
  sink: RecordingSink | null;
  endedMs: number;
}

interface Setting {
  readonly workers: readonly SilentWorker[];
  readonly stopMs: number | null;
  readonly changesMs: readonly number[];
  readonly isBudgetEmpty: boolean;
  readonly hasModels: boolean;
  readonly maxAttempts: number;
}

/** Plays the history that a seed determines. */
export async function playSilenceHistory(
  seed: number,
): Promise<SilenceFigures> {
  const draws = createDraws(seed);
  const runs = new Map<string, SilentRun[]>();
  const streams = drawStreams(draws);
  const setting = drawSetting(draws, {runs, streams});
  const {workers, stopMs, changesMs} = setting;
  const byId = new Map(workers.map((each, index) => [`e${index}`, each]));
  const models = setting.hasModels ? ['small', 'large'] : [];
  const gateway = new FakeGateway({
    route: createRoute({
      repeatability: 'stream',
      resumable: true,
      maxAttempts: setting.maxAttempts,
      timeoutMs: TIMEOUT_MS,
      objectiveMs: 2_000,
      models,
    }),
    endpoints: [...byId.keys()].map(id => createEndpoint(id, {slots: 100})),
    random: draws.next,
    retryRatio: setting.isBudgetEmpty ? 0 : 0.9,
    retryExtra: setting.isBudgetEmpty ? 0 : 50,
    behave: async (call, options, clock) => {
      const worker = byId.get(options.endpoint.id);
      if (!worker) return {type: 'not-sent', reason: 'ECONNREFUSED'};
      return worker.run(call, options, clock);
    },
  });
  const {clock, forwarder} = gateway;
  const events = [
    ...streams.map(stream => ({
      atMs: stream.sentMs,
      run: () => {
        const {sink, done} = gateway.start({
          attemptId: stream.id,
          maxOutputTokens: stream.events,
          ...(setting.hasModels && {model: '*', isModelOpen: true}),
        });
        stream.sink = sink;
        void done.then(() => (stream.endedMs = clock.monotonic()));
      },
    })),
    ...changesMs.map((atMs, index) => ({
      atMs,
      run: () =>
        gateway.view.apply(
          createFollowReply({
            complete: false,
            configuration: {
              revision: index + 2,
              version: index + 2,
              document: '',
              rollouts: [],
            },
          }),
        ),
    })),
    ...(stopMs === null
      ? []
      : [
          {
            atMs: stopMs,
            run: () =>
              forwarder.shutdown.begin(stopMs + GRACE_MS - CLOSE_MARGIN_MS),
          },
          {
            atMs: stopMs + GRACE_MS - CLOSE_MARGIN_MS,
            run: () => forwarder.shutdown.abort(),
          },
        ]),
  ].sort((a, b) => a.atMs - b.atMs);
  for (const {atMs, run} of events) {
    await clock.advance(Math.max(0, atMs - clock.monotonic()));
    run();
  }
  await clock.advance(Math.max(0, HISTORY_MS - clock.monotonic()));
  const begun = streams.filter(({sink}) => sink?.status === 200);
  const judge = (stream: Stream) =>
    findFaults(stream, {setting, byId, runs: runs.get(stream.id) ?? []});
  return {
    seed,
    setting: describeSetting(setting),
    whole: begun.filter(({sink}) => sink?.outcome === 'whole').length,
    cut: begun.filter(({sink}) => sink?.outcome === 'cut').length,
    resumed: begun.filter(({id}) => (runs.get(id)?.length ?? 0) > 1).length,
    deserted: begun.filter(
      stream =>
        measureHeldMs(stream, {
          setting,
          byId,
          runs: runs.get(stream.id) ?? [],
        }) !== null,
    ).length,
    faults: begun.flatMap(judge),
  };
}

function drawStreams(draws: Draws): Stream[] {
  return Array.from({length: draws.between(1, 24)}, (_, index) => ({
    id: `s${index}`,
    sentMs: draws.between(0, 4_500),
    events: draws.between(15, 130),
    sink: null,
    endedMs: Infinity,
  }));
}

function drawSetting(
  draws: Draws,
  {runs, streams}: {runs: Map<string, SilentRun[]>; streams: readonly Stream[]},
): Setting {
  const count = draws.between(1, 6);
  const scope = draws.between(0, 2);
  const silent =
    scope === 0 ? 1 : scope === 1 ? count : draws.between(1, count);
  const fromMs = draws.between(800, 5_000);
  const isForever = scope !== 1 && draws.next() < 0.2;
  const ms = draws.log(200, 6_000);
  const apartMs = draws.next() < 0.5 ? 0 : draws.between(0, 800);
  const hasModels = draws.next() < 0.4;
  const confidence = hasModels ? draws.between(0, 100) : null;
  const lengths = new Map(streams.map(({id, events}) => [id, events]));
  const workers = Array.from({length: count}, (_, index) => {
    const startMs = fromMs + apartMs * index;
    const toMs = isForever ? Infinity : startMs + ms;
    return new SilentWorker({
      id: `e${index}`,
      silences: index < silent ? [{fromMs: startMs, toMs}] : [],
      confidence,
      countEvents: id => lengths.get(id) ?? 0,
      onRun: (id, run) => runs.set(id, [...(runs.get(id) ?? []), run]),
    });
  });
  return {
    workers,
    stopMs: draws.next() < 0.6 ? draws.between(300, 5_000) : null,
    changesMs:
      draws.next() < 0.5
        ? []
        : [1, 2, 3].map(() => draws.between(500, 8_000)).sort((a, b) => a - b),
    isBudgetEmpty: draws.next() < 0.3,
    hasModels,
    maxAttempts: draws.between(1, 4),
  };
}

function describeSetting(setting: Setting): string {
  const {workers, stopMs, isBudgetEmpty, hasModels, maxAttempts} = setting;
  return (
    `${workers.length} endpoints, ${maxAttempts} attempts, ` +
    `stop ${stopMs ?? 'none'}, budget ${isBudgetEmpty ? 'empty' : 'full'}, ` +
    `${hasModels ? 'two models' : 'one model'}`
  );
}

interface JudgeOptions {
  readonly setting: Setting;
  readonly byId: ReadonlyMap<string, SilentWorker>;
  readonly runs: readonly SilentRun[];
}

function findFaults(stream: Stream, options: JudgeOptions): SilenceFault[] {
  const faults = [
    findOrderFault(stream),
    findCutFault(stream, options),
    findOverlapFault(options),
    findHeldFault(stream, options),
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

/**
 * Measures how long a stream stayed at its first endpoint after that fell silent
 * for good, in ms; `null` if it did not, or no other one could take over.
 */
function measureHeldMs(
  {endedMs}: Stream,
  {setting, byId, runs}: JudgeOptions,
): number | null {
  const {isBudgetEmpty, maxAttempts, hasModels, stopMs, workers} = setting;
  const [run] = runs;
  if (!run || hasModels || isBudgetEmpty || stopMs !== null) return null;
  if (maxAttempts < 2) return null;
  const worker = byId.get(run.endpoint);
  const isDead = worker && worker.findSpeech(HISTORY_MS) === Infinity;
  const hasOther = workers.some(
    each => each.findSpeech(0) === 0 && each.findSpeech(HISTORY_MS) < Infinity,
  );
  if (!isDead || !run.hasSpoken || !hasOther) return null;
  const fromMs = findDeath(worker);
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
