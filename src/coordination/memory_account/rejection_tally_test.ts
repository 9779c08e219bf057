import assert from 'node:assert/strict';
import {test} from 'uvu';
import {RejectionTally} from './rejection_tally.ts';

// Guards against a caller that opens a connection for each request, and against a
// tally that grows with the number of callers.
test('takeCallers() names the callers with the most rejections', () => {
  const tally = new RejectionTally();
  for (let port = 1; port <= 300; port++) {
    tally.record('header too-large', `10.0.0.9:${port}`);
  }
  for (let caller = 0; caller < 5_000; caller++) {
    tally.record('body budget', `10.1.${caller >> 8}.${caller & 255}:80`);
  }
  assert.deepEqual(tally.takeCallers(1), [
    {address: '10.0.0.9', rejections: 300},
  ]);
  assert.deepEqual(
    [...tally.takeCauses()],
    [
      ['header too-large', 300],
      ['body budget', 5_000],
    ],
  );
  assert.deepEqual(tally.takeCallers(1), []);
});

test.run();
