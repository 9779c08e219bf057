/** Guards against requests that are taken for each other, or not recognised. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {NO_FACTS} from '../forwarding/call_fakes.ts';
import {createRoute} from '../forwarding/forwarding_fakes.ts';
import type {Call} from '../forwarding/call.ts';
import {BodyDigest, computeRequestIdentity} from './request_identity.ts';

const ROUTE = createRoute();

function identify(change: Partial<Call> = {}, caller: string | null = 'c1') {
  const body = change.body ?? Buffer.from('{"slot": 1}');
  const call: Call = {
    method: 'POST',
    path: '/slots?day=1',
    host: 'desk.example',
    headers: [],
    facts: {...NO_FACTS, attemptId: 'a1'},
    receivedAt: 0,
    signal: new AbortController().signal,
    digestBody: () => new BodyDigest().compute(body),
    ...change,
    body,
  };
  return computeRequestIdentity({call, caller, route: ROUTE});
}

// Guards against repetitions of a request that nothing connects.
test('computeRequestIdentity() ignores what differs between two sendings', () => {
  const again = identify({
    host: 'desk.example:8080',
    headers: [['X-Forwarded-For', '10.0.0.1']],
    facts: {...NO_FACTS, attemptId: 'a2', budgetMs: 700, lastEventId: '3'},
    receivedAt: 500,
  });
  assert.equal(again, identify());
});

// Guards against a request that is blamed for another one, or another caller's.
test('computeRequestIdentity() differs for other callers, places and bodies', () => {
  const identities = [
    identify(),
    identify({}, 'c2'),
    identify({}, null),
    identify({method: 'PUT'}),
    identify({path: '/slots?day=2'}),
    identify({body: Buffer.from('{"slot": 2}')}),
    identify({body: Buffer.alloc(0)}),
  ];
  assert.equal(new Set(identities).size, identities.length);
});

test('BodyDigest.compute() is the same for a body digested as it arrives', () => {
  const body = Buffer.from('a body in two chunks');
  const eager = new BodyDigest({isEager: true});
  eager.add(body.subarray(0, 5));
  eager.add(body.subarray(5));
  assert.equal(eager.compute(body), new BodyDigest().compute(body));
  assert.equal(eager.compute(body), eager.compute(body));
});

test.run();
