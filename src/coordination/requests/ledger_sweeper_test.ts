import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {LeaseHolder} from '../../protocol/control.ts';
import type {LedgerCommand} from '../../protocol/ledger.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {LedgerState} from '../../state/ledger/ledger_state.ts';
import {createLedgerClient, selectShard} from './ledger_client.ts';
import {LedgerSweeper, LOST_AFTER_MS} from './ledger_sweeper.ts';

function createFixture() {
  const state = new LedgerState();
  const fixture = {
    time: 1_000_000,
    isLeader: true,
    holders: [] as LeaseHolder[] | null,
    state,
  };
  const now = () => fixture.time;
  const sweeper = new LedgerSweeper({
    clock: {now, monotonic: now, sleep: async () => {}},
    logger: silentLogger,
    group: 'ledger-0',
    state,
    isLeader: () => fixture.isLeader,
    getRetentionMs: () => 60_000,
    listHolders: async () => fixture.holders,
    propose: async command => state.apply(command),
  });
  state.apply({
    type: 'admit',
    requestId: 'r',
    customer: 'desk',
    key: 'k',
    digest: 'd',
    repeatable: false,
    gateway: 'a/1',
    repin: false,
    atMs: fixture.time,
  });
  const countOpen = () => state.describeSummary().openEntries;
  return {fixture, sweeper, countOpen};
}

test('a gateway is lost after LOST_AFTER_MS without a lease', async () => {
  const {fixture, sweeper, countOpen} = createFixture();
  await sweeper.sweepOnce();
  fixture.time += LOST_AFTER_MS - 1;
  await sweeper.sweepOnce();
  assert.is(countOpen(), 1);
  fixture.time += 1;
  await sweeper.sweepOnce();
  assert.is(countOpen(), 0);
});

test('a lease between two sweeps resets the timer', async () => {
  const {fixture, sweeper, countOpen} = createFixture();
  await sweeper.sweepOnce();
  fixture.time += LOST_AFTER_MS - 1;
  fixture.holders = [{name: 'a', incarnation: '1'}];
  await sweeper.sweepOnce();
  fixture.holders = [];
  fixture.time += 1;
  await sweeper.sweepOnce();
  assert.is(countOpen(), 1);
});

test('a later process of a name replaces the earlier one', async () => {
  const {fixture, sweeper, countOpen} = createFixture();
  fixture.holders = [{name: 'a', incarnation: '2'}];
  await sweeper.sweepOnce();
  assert.is(countOpen(), 0);
});

test('no gateway is lost if the holders are unknown, or on a follower', async () => {
  const {fixture, sweeper, countOpen} = createFixture();
  fixture.holders = null;
  await sweeper.sweepOnce();
  fixture.time += 2 * LOST_AFTER_MS;
  await sweeper.sweepOnce();
  assert.is(countOpen(), 1);
  fixture.holders = [{name: 'a', incarnation: '2'}];
  fixture.isLeader = false;
  await sweeper.sweepOnce();
  assert.is(countOpen(), 1);
});

test('a session has one version regardless of the keys', async () => {
  const shards = [0, 1, 2, 3].map(() => new LedgerState());
  const client = createLedgerClient({
    groupCount: shards.length,
    gateway: 'a/1',
    propose: async (group, command) => {
      const shard = shards[Number(group.slice('ledger-'.length))];
      return {
        type: 'committed',
        result: shard?.apply(command as LedgerCommand),
      };
    },
  });
  const pinned = new Set<string | undefined>();
  const used = new Set<number>();
  for (let number = 0; number < 20; number++) {
    const key = `k${number}`;
    used.add(selectShard('desk', key, shards.length));
    const result = await client.submit('desk', key, {
      type: 'admit',
      requestId: `r${number}`,
      customer: 'desk',
      key,
      digest: 'd',
      repeatable: true,
      gateway: '',
      session: 's',
      version: `draft/v${number}`,
      repin: false,
      atMs: 1,
    });
    assert.is(result?.type, 'admitted');
    if (result?.type === 'admitted') pinned.add(result.pinned);
  }
  assert.equal([...pinned], ['draft/v0']);
  assert.is(used.size, shards.length);
  const pins = shards.map(shard => shard.describeSummary().pins);
  assert.is(
    pins.reduce((sum, count) => sum + count),
    1,
  );
});

test.run();
