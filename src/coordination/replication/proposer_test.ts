import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {ProposeReply} from '../../protocol/peer_service.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createProposer} from './proposer.ts';

/**
 * Proposes to replicas that give the scripted answers, for `runMs`. Returns the
 * calls made and the reply, if any.
 */
async function proposeTo(
  answers: Record<string, ProposeReply | 'silence'>,
  runMs: number,
) {
  const clock = new SimulatedClock();
  const calls: string[] = [];
  const propose = createProposer({
    clock,
    listReplicas: () => Object.keys(answers),
    call: async (name, _request, timeoutMs) => {
      calls.push(name);
      const answer = answers[name];
      await clock.sleep(answer === 'silence' ? timeoutMs : 1);
      if (answer === undefined || answer === 'silence') {
        throw new Error('Timed out');
      }
      return answer;
    },
  });
  let reply: ProposeReply | null = null;
  void propose('group', 'command').then(value => (reply = value));
  await clock.advance(runMs);
  return {calls, reply: reply as ProposeReply | null};
}

test('a replica that does not reply is skipped in time', async () => {
  const {calls, reply} = await proposeTo(
    {a: 'silence', b: {type: 'committed', result: 1}},
    1_500,
  );
  assert.equal(reply, {type: 'committed', result: 1});
  assert.equal(calls, ['a', 'b']);
});

test('mutual redirects are not followed in a tight loop', async () => {
  const {calls, reply} = await proposeTo(
    {
      a: {type: 'not-leader', leader: 'b'},
      b: {type: 'not-leader', leader: 'a'},
    },
    7_000,
  );
  assert.ok(calls.length < 200, `${calls.length} calls`);
  assert.equal(reply, {type: 'not-leader', leader: null});
});

test('a redirect to the leader is followed at once', async () => {
  const {calls, reply} = await proposeTo(
    {
      a: {type: 'not-leader', leader: 'c'},
      b: {type: 'not-leader', leader: 'c'},
      c: {type: 'committed'},
    },
    50,
  );
  assert.equal(reply, {type: 'committed'});
  assert.equal(calls, ['a', 'c']);
});

test.run();
