/** Guards against readers that miss a change, or get again what they know. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {RevisedMap} from './revised_map.ts';

test('list() returns what changed after a revision', () => {
  const map = new RevisedMap<number>();
  map.set('a', 1);
  map.set('b', 2);
  const {revision} = map;
  assert.deepEqual(map.list(revision), []);
  map.set('a', 3);
  assert.deepEqual(map.list(revision), [['a', 3]]);
  assert.deepEqual(map.list(), [
    ['a', 3],
    ['b', 2],
  ]);
});

test('replace() changes a value, but not its revision', () => {
  const map = new RevisedMap<number>();
  map.set('a', 1);
  const {revision} = map;
  map.replace('a', 2);
  assert.equal(map.get('a'), 2);
  assert.equal(map.revision, revision);
  assert.deepEqual(map.list(revision), []);
});

// Guards against a value that no reader hears of.
test('replace() counts as a change for a new key', () => {
  const map = new RevisedMap<number>();
  map.replace('a', 1);
  assert.deepEqual(map.list(), [['a', 1]]);
});

test('delete() removes a value from later lists', () => {
  const map = new RevisedMap<number>();
  map.set('a', 1);
  map.delete('a');
  assert.equal(map.size, 0);
  assert.deepEqual([...map], []);
  map.set('b', 2);
  assert.equal(map.revision, 2);
});

test.run();
