import assert from 'node:assert/strict';
import {test} from 'uvu';
import {fail, succeed} from '../../protocol/outcome.ts';
import {RatingMonitor, watchRatings} from './rating_monitor.ts';

const request = {
  requestId: 'r',
  customer: 'c',
  requestClass: 'default',
  version: 'draft/v1',
  prompt: [],
  answer: '',
  deadlineMs: 1_000,
};

test('watchRatings() detects an outage and retries after it', async () => {
  let now = 0;
  const clock = {monotonic: () => now};
  const monitor = new RatingMonitor(clock, true);
  let works = false;
  const rate = watchRatings(
    async () => (works ? succeed(0.5) : fail('away')),
    monitor,
    clock,
  );
  for (let index = 0; index < 3; index++) {
    assert.equal(monitor.state.available, true);
    await rate(request);
  }
  assert.equal(monitor.state.available, false);
  now = 15_000;
  assert.equal(monitor.state.available, true);
  await rate(request);
  assert.equal(monitor.state.available, false);
  works = true;
  now = 30_000;
  await rate(request);
  assert.equal(monitor.state.available, true);
});

test('state is never available without a service', () => {
  const monitor = new RatingMonitor({monotonic: () => 0}, false);
  assert.equal(monitor.state.available, false);
});

test.run();
