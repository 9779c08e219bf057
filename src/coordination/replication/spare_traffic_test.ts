/**
 * Measures what spare learners cost a group without losses.
 *
 * SPARE_TRAFFIC_PRINT prints the figures.
 */
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {createDraws} from '../../protocol/seeded_draws.ts';
import {SimulatedGroup} from './simulated_group.ts';

const HOSTS = [...'abcdefgh'];
const VOTER_COUNT = 5;
const CALM_MS = 60_000;
const PROPOSE_INTERVAL_MS = 200;
const COMMAND = 'x'.repeat(200);

/** What spares may add to the traffic of a daemon on a calm day. */
const MAX_SPARE_BYTES_PER_S = 2_000;

/** Counts over the measured minute. */
interface Traffic {
  readonly appends: number;
  /** Sent and received by the daemon with the most traffic. */
  readonly maxBytes: number;
  /** Of all daemons. */
  readonly syncs: number;
}

/** Plays a minute; a command is proposed five times a second if `isBusy`. */
async function measureTraffic(
  spareCount: number,
  {isBusy}: {isBusy: boolean},
): Promise<Traffic> {
  const bytes = new Map(HOSTS.map(name => [name, 0]));
  const syncs = new Map(HOSTS.map(name => [name, 0]));
  const add = (counts: Map<string, number>, name: string, count: number) =>
    counts.set(name, (counts.get(name) ?? 0) + count);
  const group = new SimulatedGroup({
    hosts: HOSTS,
    voterCount: VOTER_COUNT,
    spareCount,
    snapshotEntries: 4_096,
    random: createDraws(1).next,
    drawSyncMs: name => {
      add(syncs, name, 1);
      return 3;
    },
  });
  const started = group.startAll();
  assert.ok(await group.runUntil(() => group.isHealthy(), 5_000), 'formed');
  await started;
  await group.run(5_000);
  let appends = 0;
  for (const name of HOSTS) {
    bytes.set(name, 0);
    syncs.set(name, 0);
  }
  group.network.observe = ({from, to, method, isReply, content}) => {
    if (method === 'append' && !isReply) appends++;
    const size = JSON.stringify(content).length;
    add(bytes, from, size);
    add(bytes, to, size);
  };
  for (let passed = 0; passed < CALM_MS; passed += PROPOSE_INTERVAL_MS) {
    if (isBusy) void group.propose(COMMAND);
    await group.run(PROPOSE_INTERVAL_MS);
  }
  assert.equal(group.violations, []);
  return {
    appends,
    maxBytes: Math.max(...bytes.values()),
    syncs: [...syncs.values()].reduce((sum, each) => sum + each, 0),
  };
}

function computeRate(count: number): number {
  return (count * 1_000) / CALM_MS;
}

/** Measures the traffic without spares and with one and two of them. */
async function compareTraffic(
  isBusy: boolean,
): Promise<Array<{spareCount: number; none: Traffic; traffic: Traffic}>> {
  const none = await measureTraffic(0, {isBusy});
  const compared = [];
  for (const spareCount of [1, 2]) {
    const traffic = await measureTraffic(spareCount, {isBusy});
    if (process.env['SPARE_TRAFFIC_PRINT']) {
      console.log(JSON.stringify({isBusy, none, spareCount, traffic}));
    }
    compared.push({spareCount, none, traffic});
  }
  return compared;
}

// Guards against spares that load a group whenever nothing happens.
test('spares add under 2 KB a second to any daemon of an idle group', async () => {
  for (const {spareCount, none, traffic} of await compareTraffic(false)) {
    const addedBytes = computeRate(traffic.maxBytes - none.maxBytes);
    const message = `${spareCount} spares add ${addedBytes} bytes a second`;
    assert.ok(addedBytes < MAX_SPARE_BYTES_PER_S, message);
    assert.is(traffic.syncs, none.syncs);
  }
});

test('a spare adds less than a voter to the traffic of a leader', async () => {
  for (const {spareCount, none, traffic} of await compareTraffic(true)) {
    const addedBytes =
      computeRate(traffic.maxBytes - none.maxBytes) / spareCount;
    const voterBytes = computeRate(none.maxBytes) / (VOTER_COUNT - 1);
    const message = `a spare adds ${addedBytes} bytes a second, a voter ${voterBytes}`;
    assert.ok(addedBytes < voterBytes, message);
    const addedSyncs = (traffic.syncs - none.syncs) / spareCount;
    assert.ok(addedSyncs <= none.syncs / VOTER_COUNT, `${addedSyncs} syncs`);
  }
});

test.run();
