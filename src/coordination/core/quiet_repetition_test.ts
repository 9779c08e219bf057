/**
 * Guards against core daemons and gateways that take what they are told again for
 * news: they tell it all others, which tell it again.
 *
 * QUIET_SEEDS sets how many drawn sets are told, from QUIET_FROM on.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {
  AgedReport,
  CoreExchangeReply,
} from '../../protocol/core_service.ts';
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {createDraws, type Draws} from '../../protocol/seeded_draws.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {SuspectRecord} from '../../protocol/suspect.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {SuspectTable} from '../quarantine/suspect_table.ts';
import {CoreState} from './core_state.ts';
import {dropSilentFlag} from './endpoint_registry.ts';
import {createGatewayReport} from './gateway_report_fake.ts';

const SEEDS = Number(process.env['QUIET_SEEDS'] ?? 20);
const FIRST_SEED = Number(process.env['QUIET_FROM'] ?? 1);

/** How often everything is told again. */
const ROUNDS = 4;

/** The longest time that a message is on its way, in ms. */
const MAX_DELAY_MS = 100;

/** The time after which everything was passed on. */
const SETTLE_MS = 200;

const SERVICE = 'app';

/** What happened to a suspect, with times on the clock of the test. */
interface SuspectFact {
  readonly record: SuspectRecord;
  readonly atMs: number;
}

/** What daemons tell each other. */
interface Facts {
  readonly endpoints: readonly EndpointReport[];
  readonly gateways: ReadonlyArray<Omit<AgedReport, 'ageMs'>>;
  readonly suspects: readonly SuspectFact[];
}

function drawFacts(draws: Draws, nowMs: number): Facts {
  const endpoints = Array.from({length: draws.between(3, 120)}, (_, index) =>
    dropSilentFlag(
      createEndpoint(`e${index}`, {
        address: `10.2.0.${index}:80`,
        state: draws.next() < 0.3 ? 'draining' : 'ready',
        startedAtMs: 1 + index,
      }),
    ),
  );
  const gateways = Array.from({length: draws.between(1, 90)}, (_, index) => ({
    report: createGatewayReport(
      {address: `10.1.0.${index}:80`, open: draws.next() < 0.8},
      {
        loads: endpoints
          .slice(0, 40)
          .map(({id}) => ({id, open: 1, readingMs: 5})),
        leaving: endpoints
          .filter(() => draws.next() < 0.02)
          .map(({id, startedAtMs}) => ({id, startedAtMs})),
        limits: endpoints
          .filter(() => draws.next() < 0.02)
          .map(({id, startedAtMs}) => ({
            id,
            startedAtMs,
            perSecond: 5,
            ageMs: 0,
          })),
      },
    ),
  }));
  const suspects = Array.from({length: draws.between(0, 700)}, (_, index) =>
    drawSuspect(draws, {index, nowMs}),
  );
  return {endpoints, gateways, suspects};
}

/** Draws one of few crashes, some of them shared, some answered on since. */
function drawSuspect(
  draws: Draws,
  {index, nowMs}: {index: number; nowMs: number},
): SuspectFact {
  const crashes = draws.next() < 0.5 ? 1 : 2;
  const isCleared = draws.next() < 0.2;
  const record: SuspectRecord = {
    service: SERVICE,
    kind: draws.next() < 0.5 ? 'part' : 'request',
    part: `p${index}`,
    customers: [`c${draws.between(0, 5)}`],
    level: isCleared ? 0 : draws.between(1, crashes),
    isCondemned: false,
    crashes: Array.from({length: isCleared ? 0 : crashes}, (_, crash) => ({
      start: `s${index}-${crash}/1`,
      ageMs: crash,
      exposureMs: 50,
      refutedAgeMs: null,
    })),
    clearedAgeMs: isCleared ? 0 : null,
  };
  return {record, atMs: nowMs - draws.next() * 4_000};
}

/** Encodes suspects with their ages, as a message that arrives later than that. */
function encodeSuspects(
  facts: readonly SuspectFact[],
  {draws, nowMs}: {draws: Draws; nowMs: number},
): SuspectRecord[] {
  return facts.map(({record, atMs}) => {
    const ageMs = nowMs - atMs - draws.next() * MAX_DELAY_MS;
    return {
      ...record,
      crashes: record.crashes.map(crash => ({
        ...crash,
        ageMs: ageMs + crash.ageMs,
      })),
      clearedAgeMs: record.clearedAgeMs === null ? null : ageMs,
    };
  });
}

function shuffle<T>(draws: Draws, values: readonly T[]): T[] {
  return values
    .map(value => ({value, order: draws.next()}))
    .sort((a, b) => a.order - b.order)
    .map(({value}) => value);
}

/** Splits into messages of several sizes. */
function split<T>(draws: Draws, values: readonly T[]): T[][] {
  const parts: T[][] = [];
  for (let from = 0; from < values.length;) {
    const count = draws.between(1, 64);
    parts.push(values.slice(from, from + count));
    from += count;
  }
  return parts;
}

/** Tells a core daemon everything, in messages of any order. */
async function tellAll(
  {
    state,
    clock,
    draws,
  }: {state: CoreState; clock: SimulatedClock; draws: Draws},
  facts: Facts,
): Promise<void> {
  const empty: CoreExchangeReply = {cores: [], reports: [], gateways: []};
  const nowMs = clock.monotonic();
  const tell: Array<() => void> = [
    ...split(draws, shuffle(draws, facts.endpoints)).map(
      reports => () => state.mergeExchange({...empty, reports}, 'c2'),
    ),
    ...split(draws, shuffle(draws, facts.gateways)).map(
      part => () =>
        state.mergeExchange(
          {...empty, gateways: part.map(each => ({...each, ageMs: 0}))},
          'c2',
        ),
    ),
    ...split(draws, shuffle(draws, facts.suspects)).map(part => () => {
      const suspects = encodeSuspects(part, {draws, nowMs});
      if (draws.next() < 0.5) state.mergeExchange({...empty, suspects}, 'c2');
      else {
        const [gateway] = facts.gateways;
        if (gateway) {
          state.gateways.recordDirect({...gateway.report, suspects});
        }
      }
    }),
  ];
  for (const each of shuffle(draws, tell)) {
    each();
    await clock.advance(1);
  }
}

/** Names everything that others are told of a daemon. */
function describe(state: CoreState): Record<string, number> {
  return {
    endpoints: state.endpoints.revision,
    gateways: state.gateways.findOpen().revision,
    closings: state.gateways.lastClosingRevision,
    limits: state.limits.urgentRevision,
    suspects: state.suspects.table.revision,
  };
}

test('a core daemon takes nothing that it is told again for news', async () => {
  const found: string[] = [];
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    const draws = createDraws(seed);
    const clock = new SimulatedClock();
    await clock.advance(10_000);
    const place = {region: 'r', dataCentre: 'a', controlAddress: ''};
    const state = new CoreState({
      clock,
      logger: silentLogger,
      self: {address: 'c1', ...place},
    });
    const facts = drawFacts(draws, clock.monotonic());
    const told = {state, clock, draws};
    // What one message lacks, another one may refer to.
    await tellAll(told, facts);
    await tellAll(told, facts);
    await clock.advance(SETTLE_MS);
    const before = describe(state);
    let woken = 0;
    for (const notifier of [state.changes, state.urgentChanges]) {
      const {notify} = notifier;
      notifier.notify = () => {
        woken++;
        notify.call(notifier);
      };
    }
    state.takePendingReports();
    for (let round = 0; round < ROUNDS; round++) await tellAll(told, facts);
    const after = describe(state);
    const pending = state.takePendingReports().length;
    if (JSON.stringify(after) === JSON.stringify(before) && !woken && !pending)
      continue;
    found.push(`seed ${seed}: ${JSON.stringify({before, after, woken})}`);
  }
  assert.deepEqual(found, []);
});

// Guards against a table that forgets one record for each that it takes, and takes the
// forgotten one for news.
test('a table of suspects takes a set larger than itself once', () => {
  for (const count of [256, 257, 300, 400, 1_000]) {
    const clock = new SimulatedClock();
    const table = new SuspectTable({clock});
    const records = Array.from({length: count}, (_, index): SuspectRecord => ({
      service: SERVICE,
      kind: 'part',
      part: `p${index}`,
      customers: ['c1'],
      level: 1,
      isCondemned: false,
      crashes: ['a', 'b'].map(start => ({
        start: `${start}${index}/1`,
        ageMs: 10,
        exposureMs: 50,
        refutedAgeMs: null,
      })),
      clearedAgeMs: null,
    }));
    table.merge(records, 0);
    for (let round = 0; round < ROUNDS; round++) {
      assert.deepEqual(table.merge(records, 0), [], `${count}, round ${round}`);
    }
  }
});

test.run();
