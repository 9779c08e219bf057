/** Guards against a less urgent request that goes first, and a rank that never goes. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {RankedQueue, type RankedRequest} from './ranked_queue.ts';

function createRequest(rank: number, customer: string): RankedRequest {
  return {rank, customer, weight: 1, cost: 1, priority: 0, expiresAt: 0};
}

const ANY = {isDue: () => false, canAdmit: () => true};

test('more urgent ranks go first, and customers take turns within one', () => {
  const queue = new RankedQueue();
  queue.push(createRequest(2, 'c'));
  for (const customer of ['a', 'a', 'b'])
    queue.push(createRequest(1, customer));
  assert.equal(queue.countMoreUrgent(2), 3);
  const order = Array.from({length: 4}, () => queue.shift(ANY)?.customer);
  assert.deepEqual(order, ['a', 'b', 'a', 'c']);
  assert.equal(queue.shift(ANY), null);
});

test('a rank that is due goes before more urgent ones', () => {
  const queue = new RankedQueue();
  queue.push(createRequest(0, 'a'));
  queue.push(createRequest(3, 'b'));
  const next = queue.shift({...ANY, isDue: rank => rank === 3});
  assert.equal(next?.customer, 'b');
});

test('a customer that may not go does not hold up the others', () => {
  const queue = new RankedQueue();
  queue.push(createRequest(0, 'a'));
  queue.push(createRequest(1, 'b'));
  const next = queue.shift({
    ...ANY,
    canAdmit: ({customer}) => customer !== 'a',
  });
  assert.equal(next?.customer, 'b');
  assert.equal(queue.length, 1);
});

test.run();
