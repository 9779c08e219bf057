import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createEndpoint} from './forwarding_fakes.ts';
import {ReadingWork} from './reading_work.ts';

const ENDPOINT = createEndpoint('e1');

function startReading(work: ReadingWork, aheadMs = 0) {
  return work.start({
    endpoint: ENDPOINT,
    service: 'app',
    model: 'small',
    plan: {unreadTokens: 1_000, ms: 40},
    aheadMs,
  });
}

test('getPendingMs() sums what an endpoint reads until its answers begin', () => {
  const work = new ReadingWork(new SimulatedClock());
  const first = startReading(work);
  const second = startReading(work);
  assert.equal(work.getPendingMs(ENDPOINT), 80);
  first.begin();
  assert.equal(work.getPendingMs(ENDPOINT), 40);
  second[Symbol.dispose]();
  second[Symbol.dispose]();
  assert.equal(work.getPendingMs(ENDPOINT), 0);
});

test('getPendingMs() counts nothing of an earlier start of an endpoint', () => {
  const work = new ReadingWork(new SimulatedClock());
  startReading(work);
  assert.equal(work.getPendingMs({...ENDPOINT, startedAtMs: 2}), 0);
});

test('getPace() learns from answers that nothing was ahead of', async () => {
  const clock = new SimulatedClock();
  const work = new ReadingWork(clock);
  const unknown = work.getPace('app', 'small');
  for (let answer = 0; answer < 10; answer++) {
    const blocked = startReading(work, 500);
    await clock.advance(900);
    blocked.begin();
  }
  assert.deepEqual(work.getPace('app', 'small'), unknown);
  for (let answer = 0; answer < 10; answer++) {
    const reading = startReading(work);
    await clock.advance(60);
    reading.begin();
  }
  const {tokenMs} = work.getPace('app', 'small');
  assert.ok(Math.abs(tokenMs - 0.06) < 1e-9);
  assert.deepEqual(work.getPace('app', 'large'), unknown);
});

test.run();
