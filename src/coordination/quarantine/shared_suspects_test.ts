import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {SuspectRecord} from '../../protocol/suspect.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {CoreState} from '../core/core_state.ts';

function createState(): {clock: SimulatedClock; state: CoreState} {
  const clock = new SimulatedClock();
  const place = {region: 'r', dataCentre: 'a', controlAddress: ''};
  const self = {address: 'c', ...place};
  return {clock, state: new CoreState({clock, logger: silentLogger, self})};
}

function createRecord(
  starts: readonly string[],
  change: Partial<SuspectRecord> = {},
): SuspectRecord {
  return {
    service: 'app',
    kind: 'part',
    part: 'p',
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

// Guards against a core that is busy with telling all gateways of each lost
// answer: elections and changes of the configuration then come seconds late.
test('a suspect of a single crash wakes neither gateways nor core daemons', async () => {
  const {clock, state} = createState();
  let wakeUps = 0;
  void state.changes.wait(60_000).then(() => wakeUps++);
  void state.urgentChanges.wait(60_000).then(() => wakeUps++);
  state.suspects.record([createRecord(['e1/1'])], clock.monotonic());
  const cleared = createRecord([], {level: 0, clearedAgeMs: 0});
  state.suspects.record([cleared], clock.monotonic());
  await clock.advance(1_000);
  assert.equal(wakeUps, 0);
  assert.deepEqual(state.suspects.shared.list(), []);
  assert.equal(state.suspects.dueRevision, 0);
});

test('gateways are told of a second crash, and that the suspect is cleared', async () => {
  const {clock, state} = createState();
  state.suspects.record([createRecord(['e1/1'])], clock.monotonic());
  state.suspects.record([createRecord(['e2/1'])], clock.monotonic());
  assert.equal(state.suspects.shared.list()[0]?.crashes.length, 2);
  await clock.advance(1_000);
  const {revision} = state.suspects.table;
  const cleared = createRecord([], {level: 0, clearedAgeMs: 0});
  state.suspects.record([cleared], clock.monotonic());
  assert.equal(state.suspects.shared.list(revision)[0]?.level, 0);
});

// Guards against replies that carry all crashes of a popular part with each new one.
test('gateways are told the crashes that they lack', async () => {
  const {clock, state} = createState();
  const {suspects} = state;
  const listStarts = (after: number) =>
    suspects.shared
      .list(after)
      .flatMap(({crashes}) => crashes.map(({start}) => start));
  suspects.record([createRecord(['e1/1'])], clock.monotonic());
  const unshared = suspects.table.revision;
  suspects.record([createRecord(['e2/1'])], clock.monotonic());
  const first = suspects.table.revision;
  suspects.record([createRecord(['e3/1'])], clock.monotonic());
  assert.deepEqual(listStarts(first), ['e3/1']);
  // The first crash was not told before the second one.
  assert.deepEqual(listStarts(unshared).sort(), ['e1/1', 'e2/1', 'e3/1']);
  const second = suspects.table.revision;
  const cleared = createRecord([], {level: 0, clearedAgeMs: 0});
  suspects.record([cleared], clock.monotonic());
  assert.equal(suspects.shared.list(second)[0]?.level, 0);
});

// Guards against gateways that are all woken for each of many crashes that decide
// nothing more.
test('further crashes of a suspect are told twice a second', async () => {
  const {clock, state} = createState();
  let published = 0;
  let last = state.suspects.dueRevision;
  state.suspects.record([createRecord(['a/1', 'b/1'])], clock.monotonic());
  for (let index = 0; index < 10; index++) {
    state.suspects.record([createRecord([`e${index}/1`])], clock.monotonic());
    await clock.advance(100);
    if (state.suspects.dueRevision !== last) published++;
    last = state.suspects.dueRevision;
  }
  assert.ok(published <= 3, `${published} times in a second`);
  await clock.advance(500);
  assert.equal(state.suspects.dueRevision, state.suspects.table.revision);
});

test.run();
