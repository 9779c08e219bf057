/**
 * Guards against hosts that get more callers than they bear, or none, and against
 * answers that change without a reason.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {Gateway} from '../../protocol/gateway_entry.ts';
import {createDraws} from '../../protocol/seeded_draws.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {GatewayNames} from './gateway_names.ts';

const PLACE = {region: 'r', dataCentre: 'a', host: 'desk.example'};
const TTL_MS = 1_500;

type Host = Pick<Gateway, 'capacity' | 'slowness'>;

function createGateways(hosts: readonly Host[]): Gateway[] {
  return hosts.map((host, index) => ({
    address: `10.0.0.${index}:80`,
    region: 'r',
    dataCentre: 'a',
    open: true,
    ...host,
  }));
}

interface PlayOptions {
  readonly hosts: readonly Host[];
  /** 300 by default. */
  readonly callers?: number;
  /** The rounds of questions; 40, a minute, by default. */
  readonly rounds?: number;
  /** Connections of a caller in a round; 3 by default. */
  readonly getConnections?: (caller: number, round: number) => number;
  /** Whether all callers have one address; false by default. */
  readonly isShared?: boolean;
}

/** Callers that ask each time to live and connect to named hosts at random. */
async function playCallers({
  hosts,
  callers = 300,
  rounds = 40,
  getConnections = () => 3,
  isShared = false,
}: PlayOptions) {
  const clock = new SimulatedClock();
  const {next} = createDraws(7);
  const gateways = createGateways(hosts);
  const names = new GatewayNames({
    clock,
    metrics: silentMetrics,
    random: next,
    listGateways: () => gateways,
    getTable: () => null,
  });
  const counts = hosts.map(() => 0);
  /** The most connections that a host got in one round. */
  const peaks = hosts.map(() => 0);
  const last = new Map<number, string[]>();
  let changed = 0;
  let fewest = Infinity;
  for (let round = 0; round < rounds; round++) {
    const inRound = hosts.map(() => 0);
    for (let caller = 0; caller < callers; caller++) {
      const address = isShared ? '127.0.0.1' : `10.1.${caller >> 8}.${caller}`;
      const named = names.list({...PLACE, address});
      fewest = Math.min(fewest, named.length);
      const before = last.get(caller) ?? named;
      changed += before.filter(each => !named.includes(each)).length;
      last.set(caller, named);
      for (let left = getConnections(caller, round); left > 0; left--) {
        const chosen = named[Math.floor(next() * named.length)];
        const index = gateways.findIndex(each => each.address === chosen);
        inRound[index] = (inRound[index] ?? 0) + 1;
      }
    }
    inRound.forEach((count, index) => {
      counts[index] = (counts[index] ?? 0) + count;
      peaks[index] = Math.max(peaks[index] ?? 0, count);
    });
    await clock.advance(TTL_MS);
  }
  const total = counts.reduce((sum, count) => sum + count, 0);
  return {
    shares: counts.map(count => count / total),
    peaks,
    /** Addresses that a caller's next answer lacked, per answer. */
    droppedPerAnswer: changed / (callers * rounds),
    fewest,
    list: () => names.list({...PLACE, address: '10.9.9.9'}),
    gateways,
  };
}

/** The hosts of a data centre of the second customer, from weak to strong. */
const UNEVEN: readonly Host[] = [49, 60, 72, 85, 97, 110, 124, 140, 162].map(
  capacity => ({capacity}),
);

/** How far a share may be from the one in proportion. */
const MAX_RATIO = 1.3;

function assertProportional(
  shares: readonly number[],
  weights: readonly number[],
) {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  shares.forEach((share, index) => {
    const ratio = share / ((weights[index] ?? 0) / total);
    assert.ok(
      ratio < MAX_RATIO && ratio > 1 / MAX_RATIO,
      `host ${index}: ${ratio.toFixed(2)} of its share`,
    );
  });
}

test('hosts that are alike are all named, in their order', async () => {
  for (const hosts of [
    Array.from({length: 9}, () => ({})),
    Array.from({length: 9}, () => ({capacity: 97})),
    Array.from({length: 9}, () => ({capacity: 97, slowness: 0})),
  ]) {
    const {list, gateways} = await playCallers({hosts, rounds: 1});
    assert.deepEqual(
      list(),
      gateways.map(({address}) => address),
    );
  }
  const many = Array.from({length: 80}, () => ({}));
  assert.equal((await playCallers({hosts: many, rounds: 1})).list().length, 64);
});

test('uneven hosts get callers in proportion to what they bear', async () => {
  const {shares, droppedPerAnswer, fewest} = await playCallers({hosts: UNEVEN});
  assertProportional(
    shares,
    UNEVEN.map(({capacity = 0}) => capacity),
  );
  assert.ok(droppedPerAnswer < 0.1, `${droppedPerAnswer} dropped`);
  assert.ok(fewest >= 2);
});

// A wave: a third of the callers send ten times as much for 15 s.
test('uneven hosts under a wave are loaded alike', async () => {
  const {peaks} = await playCallers({
    hosts: UNEVEN,
    getConnections: (caller, round) =>
      caller % 3 === 0 && round >= 10 && round < 20 ? 30 : 3,
  });
  const loads = peaks.map(
    (peak, index) => peak / (UNEVEN[index]?.capacity ?? 1),
  );
  const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
  for (const load of loads) assert.ok(load < mean * 1.5, `${load} of ${mean}`);
});

test('a host that is five times slower gets an eighth of its callers', async () => {
  const hosts = Array.from({length: 9}, (_, index) => ({
    capacity: index === 8 ? 50 : 100,
    ...(index === 4 && {slowness: 3}),
  }));
  const {shares, droppedPerAnswer} = await playCallers({hosts});
  assertProportional(
    shares,
    hosts.map(({capacity}, index) => (index === 4 ? 12.5 : capacity)),
  );
  assert.ok(droppedPerAnswer < 0.02, `${droppedPerAnswer} dropped`);
});

// Guards against other answers than before where no host bears more than another.
test('hosts that are alike are all named, a slow one as well', async () => {
  const hosts = Array.from({length: 9}, (_, index) => ({
    capacity: 100,
    ...(index === 4 && {slowness: 3}),
  }));
  const {list} = await playCallers({hosts, rounds: 1});
  assert.equal(list().length, 9);
});

// Guards against hosts from which all load is taken while no other bears more.
test('hosts that are all slow are named as before', async () => {
  const hosts = Array.from({length: 9}, () => ({capacity: 100, slowness: 3}));
  const {list} = await playCallers({hosts, rounds: 1});
  assert.equal(list().length, 9);
});

test('a host without reports gets the share of an ordinary one', async () => {
  const hosts: Host[] = UNEVEN.map((host, index) => (index === 8 ? {} : host));
  const {shares} = await playCallers({hosts});
  const weights = hosts.map(({capacity = 97}) => capacity);
  assertProportional(shares, weights);
});

// Guards against callers behind one address that are all named the same hosts.
test('callers behind one address use all hosts in proportion', async () => {
  const {shares} = await playCallers({hosts: UNEVEN, isShared: true});
  assertProportional(
    shares,
    UNEVEN.map(({capacity = 0}) => capacity),
  );
});

test('two hosts are both named, however uneven', async () => {
  const hosts = [{capacity: 5}, {capacity: 160, slowness: 4}, {capacity: 200}];
  for (const some of [hosts.slice(0, 2), hosts]) {
    const {fewest} = await playCallers({hosts: some});
    assert.equal(fewest, 2);
  }
});

// Guards against good hosts that few callers leave without any.
test('few callers use each host within minutes', async () => {
  const {shares} = await playCallers({
    hosts: UNEVEN,
    callers: 3,
    rounds: 160,
  });
  for (const share of shares) assert.ok(share > 0.02, `a share of ${share}`);
});

// Guards against answers that differ for most callers when one host changes.
test('a change of one host changes few other places', async () => {
  const clock = new SimulatedClock();
  let gateways = createGateways(UNEVEN);
  const names = new GatewayNames({
    clock,
    metrics: silentMetrics,
    random: () => 0.5,
    listGateways: () => gateways,
    getTable: () => null,
  });
  const ask = () =>
    Array.from({length: 300}, (_, caller) =>
      names.list({...PLACE, address: `10.1.${caller >> 8}.${caller}`}),
    );
  const before = ask();
  gateways = gateways.map((each, index) =>
    index === 3 ? {...each, slowness: 2} : each,
  );
  const after = ask();
  const slowed = gateways[3]?.address;
  const lost = before.flatMap((named, caller) =>
    named.filter(each => !after[caller]?.includes(each)),
  );
  assert.ok(lost.filter(each => each === slowed).length > 80);
  assert.equal(lost.filter(each => each !== slowed).length, 0);
});

test.run();
