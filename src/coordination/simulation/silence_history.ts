/**
 * Plays a drawn history of one gateway whose endpoints fall silent while their
 * streams are relayed, beside a planned stop and changes of the configuration,
 * with full and empty retry budgets.
 */
import type {Engine} from '../../protocol/route_table.ts';
import {createDraws} from '../../protocol/seeded_draws.ts';
import {
  createEndpoint,
  createFollowReply,
  createRoute,
  FakeGateway,
} from '../forwarding/forwarding_fakes.ts';
import {SilenceCore} from './silence_core.ts';
import {
  CLOSE_MARGIN_MS,
  findFaults,
  GRACE_MS,
  HISTORY_MS,
  measureHeldMs,
  TIMEOUT_MS,
  type SilenceFault,
} from './silence_faults.ts';
import {
  countPromptTokens,
  describeSetting,
  drawSetting,
  drawStreams,
  type Stream,
} from './silence_setting.ts';
import type {SilentRun} from './silent_worker.ts';

const ENGINE: Engine = {
  slots: 100,
  memoryTokens: 5_000_000,
  tokensPerEvent: 1,
  models: [],
};

const CENTRES = ['a', 'b', 'c'] as const;

/** The regions of data centres, by the settings in force. */
const REGIONS: ReadonlyArray<Readonly<Record<string, string>>> = [
  {a: 'r', b: 'r', c: 'r'},
  {a: 'r', b: 'other'},
  {a: 'r', b: 'r', c: 'other'},
];

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

/** Plays the history that a seed determines. */
export async function playSilenceHistory(
  seed: number,
): Promise<SilenceFigures> {
  const draws = createDraws(seed);
  const runs = new Map<string, SilentRun[]>();
  const streams = drawStreams(draws);
  const setting = drawSetting(draws, {seed, runs, streams});
  const {workers, stopMs, changesMs, reloadsMs} = setting;
  const byId = new Map(workers.map((each, index) => [`e${index}`, each]));
  const models = setting.hasModels ? ['small', 'large'] : [];
  const endpoints = [...byId.keys()].map((id, index) =>
    createEndpoint(id, {
      slots: 100,
      dataCentre: reloadsMs.length > 0 ? (CENTRES[index % 3] ?? 'a') : 'a',
    }),
  );
  let reloads = 0;
  const core = new SilenceCore(workers, records =>
    gateway.quarantine.recordRelayed(records),
  );
  const gateway: FakeGateway = new FakeGateway({
    route: createRoute({
      repeatability: 'stream',
      resumable: true,
      maxAttempts: setting.maxAttempts,
      timeoutMs: TIMEOUT_MS,
      objectiveMs: 2_000,
      models,
    }),
    endpoints,
    ...(setting.readMs.size > 0 && {engine: ENGINE}),
    findRegion: centre => REGIONS[reloads % REGIONS.length]?.[centre] ?? null,
    ...(setting.suspects.length > 0 && {clock: core.clock, trials: core}),
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
          promptTokens: countPromptTokens(setting, stream.id),
          ...(setting.suspects.length > 0 && {
            prompt: [stream.id, 'own'].map(id => ({id, tokens: 10})),
          }),
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
    ...setting.suspects.map(({stream, level, atMs}) => ({
      atMs,
      run: () => core.learn(stream, level),
    })),
    ...reloadsMs.map((atMs, index) => ({
      atMs,
      run: () => {
        reloads++;
        // Other seeds lead to another core daemon, which tells all that it knows.
        gateway.view.apply(
          createFollowReply({epoch: `e${index}`, settled: true, endpoints}),
        );
      },
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
