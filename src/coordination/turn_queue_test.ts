import assert from 'node:assert/strict';
import {test} from 'uvu';
import {TurnQueue} from './turn_queue.ts';

// Guards against a task that holds up others by its length, or as it throws.
test('enqueue() runs one task in each turn, in order', () => {
  const turns: Array<() => void> = [];
  const queue = new TurnQueue({schedule: run => void turns.push(run)});
  const ran: number[] = [];
  queue.enqueue(() => {
    ran.push(1);
    queue.enqueue(() => ran.push(4));
  });
  queue.enqueue(() => {
    throw new Error('planted');
  });
  queue.enqueue(() => ran.push(3));
  assert.equal(turns.length, 1);
  turns.shift()?.();
  assert.deepEqual(ran, [1]);
  assert.throws(() => turns.shift()?.(), /planted/);
  turns.shift()?.();
  assert.deepEqual(ran, [1, 3]);
  turns.shift()?.();
  assert.deepEqual(ran, [1, 3, 4]);
  assert.equal(queue.length, 0);
  assert.equal(turns.length, 0);
});

test.run();
