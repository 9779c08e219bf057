/**
 * Guards against daemons that tell each other all that they know of a suspect with
 * each thing that they observe of it.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {SuspectRecord} from '../../protocol/suspect.ts';
import {CoreState} from '../core/core_state.ts';
import {PeerOutbox} from '../core/peer_outbox.ts';
import {Observations} from './observations.ts';
import {SuspectTable} from './suspect_table.ts';

const SERVICE = 'app';
const PART = {kind: 'part' as const, part: 'p'};

function createRecord(
  starts: readonly string[],
  change: Partial<SuspectRecord> = {},
): SuspectRecord {
  return {
    service: SERVICE,
    ...PART,
    customers: ['a'],
    level: 1,
    isCondemned: false,
    crashes: starts.map(start => ({
      start,
      ageMs: 0,
      exposureMs: 100,
      refutedAgeMs: null,
    })),
    clearedAgeMs: null,
    ...change,
  };
}

const listStarts = (records: readonly SuspectRecord[] = []) =>
  records.flatMap(({crashes}) => crashes.map(({start}) => start)).sort();

/** A gateway that observes ends, and learns of others. */
class Observing {
  readonly clock = new SimulatedClock();
  readonly table = new SuspectTable({clock: this.clock});
  readonly observations = new Observations({
    clock: this.clock,
    table: this.table,
    retainMs: 3_000,
  });

  learn(record: SuspectRecord): void {
    this.table.merge([record], this.clock.monotonic());
  }

  observe(record: SuspectRecord): void {
    this.learn(record);
    const starts = record.crashes.map(({start}) => start);
    this.observations.record(SERVICE, PART, starts);
  }
}

test('an observation is listed without what others observed', () => {
  const gateway = new Observing();
  const {observations} = gateway;
  gateway.learn(createRecord(['e1/1', 'e2/1', 'e3/1']));
  gateway.observe(createRecord(['e4/1']));
  const first = observations.listAfter(0);
  assert.deepEqual(listStarts(first.records), ['e4/1']);
  gateway.observe(createRecord(['e5/1']));
  const second = observations.listAfter(first.revision);
  assert.deepEqual(listStarts(second.records), ['e5/1']);
  assert.deepEqual(listStarts(observations.listAfter(0).records), [
    'e4/1',
    'e5/1',
  ]);
  assert.deepEqual(observations.listAfter(second.revision).records, []);
});

// Guards against a chain whose length is lost where its ends are not known yet.
test('an observation carries as many ends as its level', () => {
  const gateway = new Observing();
  gateway.learn(createRecord(['e1/1', 'e2/1', 'e3/1'], {level: 2}));
  gateway.observe(createRecord(['e4/1'], {level: 3}));
  const {records} = gateway.observations.listAfter(0);
  assert.equal(records[0]?.crashes.length, 3);
  const reader = new SuspectTable({clock: gateway.clock});
  reader.merge(records, gateway.clock.monotonic());
  assert.equal(reader.find(SERVICE, PART)?.level, 3);
});

test('a suspect that is cleared, and all for another run, are listed', async () => {
  const gateway = new Observing();
  gateway.learn(createRecord(['e1/1', 'e2/1']));
  gateway.observations.recordAll();
  const all = gateway.observations.listAfter(0);
  assert.deepEqual(listStarts(all.records), ['e1/1', 'e2/1']);
  await gateway.clock.advance(100);
  gateway.observe(createRecord([], {level: 0, clearedAgeMs: 0}));
  const cleared = gateway.observations.listAfter(all.revision).records;
  assert.equal(cleared[0]?.level, 0);
  assert.notEqual(cleared[0]?.clearedAgeMs, null);
  await gateway.clock.advance(4_000);
  assert.deepEqual(gateway.observations.listAfter(0).records, []);
});

// Guards against exchanges in which each core daemon passes on what the others told.
test('a core daemon passes on what its own gateways told', () => {
  const clock = new SimulatedClock();
  const place = {region: 'r', dataCentre: 'a', controlAddress: ''};
  const self = {address: 'c', ...place};
  const state = new CoreState({clock, logger: silentLogger, self});
  const outbox = new PeerOutbox(state);
  const tell = () => {
    const sent = outbox.createExchange({
      now: 0,
      intervalMs: 0,
      wantsAll: false,
    });
    outbox.recordReply(sent, {
      cores: [],
      reports: [],
      gateways: [],
      readsSuspects: true,
    });
    return listStarts(sent.content.suspects);
  };
  tell();
  state.suspects.record([createRecord(['e1/1'])], 0);
  state.suspects.merge([createRecord(['e2/1', 'e3/1'])], 0);
  assert.deepEqual(tell(), ['e1/1']);
  state.suspects.merge([createRecord(['e4/1'])], 0);
  assert.deepEqual(tell(), []);
  state.suspects.record([createRecord(['e5/1'])], 0);
  assert.deepEqual(tell(), ['e5/1']);
});

test.run();
