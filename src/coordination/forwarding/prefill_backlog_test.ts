import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createEndpoint} from './forwarding_fakes.ts';
import {PrefillBacklog} from './prefill_backlog.ts';

const ENDPOINT = createEndpoint('e1');

function startPrefill(backlog: PrefillBacklog, backlogMs = 0) {
  return backlog.start({
    endpoint: ENDPOINT,
    service: 'app',
    model: 'small',
    plan: {uncachedTokens: 1_000, ms: 40},
    backlogMs,
  });
}

test('getPendingMs() sums the prefills whose answers have not begun', () => {
  const backlog = new PrefillBacklog(new SimulatedClock());
  const first = startPrefill(backlog);
  const second = startPrefill(backlog);
  assert.equal(backlog.getPendingMs(ENDPOINT), 80);
  first.begin();
  assert.equal(backlog.getPendingMs(ENDPOINT), 40);
  second[Symbol.dispose]();
  second[Symbol.dispose]();
  assert.equal(backlog.getPendingMs(ENDPOINT), 0);
});

test('getPendingMs() ignores prefills of an earlier start of an endpoint', () => {
  const backlog = new PrefillBacklog(new SimulatedClock());
  startPrefill(backlog);
  assert.equal(backlog.getPendingMs({...ENDPOINT, startedAtMs: 2}), 0);
});

test('getRate() uses only answers without a backlog in front of them', async () => {
  const clock = new SimulatedClock();
  const backlog = new PrefillBacklog(clock);
  const unknown = backlog.getRate('app', 'small');
  for (let answer = 0; answer < 10; answer++) {
    const blocked = startPrefill(backlog, 500);
    await clock.advance(900);
    blocked.begin();
  }
  assert.deepEqual(backlog.getRate('app', 'small'), unknown);
  for (let answer = 0; answer < 10; answer++) {
    const prefill = startPrefill(backlog);
    await clock.advance(60);
    prefill.begin();
  }
  const {msPerToken} = backlog.getRate('app', 'small');
  assert.ok(Math.abs(msPerToken - 0.06) < 1e-9);
  assert.deepEqual(backlog.getRate('app', 'large'), unknown);
});

test.run();
