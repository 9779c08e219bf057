/**
 * Guards against questions that carry all departures of a herd each time, to each
 * core daemon.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {ConfirmReply} from '../../protocol/confirmation.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {HeldDepartures, type AskedDepartures} from './held_departures.ts';

const [A, B] = ['a', 'b'].map(id => createEndpoint(id, {state: 'draining'}));
if (!A || !B) throw new Error('Could not create the departures');

function createReply(run: string, endpointRevision: number): ConfirmReply {
  const base = {isHeld: true, followers: [], readsRequired: true};
  return {...base, run, endpointRevision};
}

const listIds = ({departures}: AskedDepartures) => departures.map(({id}) => id);

test('a daemon gets each departure once, then the revision that has it', () => {
  const held = new HeldDepartures();
  const first = held.select([A]);
  assert.deepEqual(listIds(first), ['a']);
  assert.ok(held.record(first, createReply('r1', 7)));
  const second = held.select([A, B]);
  assert.deepEqual(listIds(second), ['b']);
  assert.deepEqual(second.required, {run: 'r1', endpointRevision: 7});
  assert.ok(held.record(second, createReply('r1', 9)));
  const third = held.select([A, B]);
  assert.deepEqual(listIds(third), []);
  assert.deepEqual(third.required, {run: 'r1', endpointRevision: 9});
});

// Guards against a departure that is acknowledged though a daemon that restarted has
// never got it.
test('another run of a daemon gets all of them, and its reply does not count', () => {
  const held = new HeldDepartures();
  held.record(held.select([A]), createReply('r1', 7));
  const late = held.select([A]);
  const asked = held.select([A, B]);
  assert.equal(held.record(asked, createReply('r2', 1)), false);
  assert.equal(held.record(late, createReply('r2', 1)), false);
  const next = held.select([A, B]);
  assert.deepEqual(listIds(next).includes('a'), true);
  assert.ok(held.record(next, createReply('r2', 2)));
});

test('a daemon of an earlier version gets all of them each time', () => {
  const held = new HeldDepartures();
  const {readsRequired: _new, ...earlier} = createReply('r1', 7);
  held.record(held.select([A]), earlier);
  const asked = held.select([A, B]);
  assert.deepEqual(listIds(asked), ['a', 'b']);
  assert.equal(asked.required, undefined);
});

test.run();
