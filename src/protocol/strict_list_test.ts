import assert from 'node:assert/strict';
import {test} from 'uvu';
import * as z from 'zod';
import {createStrictList} from './strict_list.ts';

const schema = z.object({
  pairs: createStrictList(
    z
      .object({name: z.string(), parts: createStrictList(z.int()).default([])})
      .transform(({name, parts}) => [name, parts.length] as const),
  ),
});

test('createStrictList() returns the values of a valid list', () => {
  const parsed = schema.safeParse({
    pairs: [{name: 'a'}, {name: 'b', parts: [1, 2]}],
  });
  assert.deepEqual(parsed.data, {
    pairs: [
      ['a', 0],
      ['b', 2],
    ],
  });
  assert.deepEqual(schema.parse({pairs: []}), {pairs: []});
});

test('createStrictList() names what is invalid by its path', () => {
  const parsed = schema.safeParse({
    pairs: [{name: 'a', parts: [1, 'x']}, {name: 'b'}, 7],
  });
  assert.deepEqual(
    parsed.error?.issues.map(({path, message}) => [path, message]),
    [
      [
        ['pairs', 0, 'parts', 1],
        'Invalid input: expected number, received string',
      ],
      [['pairs', 2], 'Invalid input: expected object, received number'],
    ],
  );
  for (const pairs of [null, undefined, {}, 'a']) {
    assert.equal(schema.safeParse({pairs}).success, false);
  }
});

// Guards against a daemon that runs out of memory on the errors of a long list.
test('createStrictList() stops after a few invalid entries', () => {
  const parsed = schema.safeParse({pairs: Array(1_000).fill({parts: [0.5]})});
  assert.equal(parsed.error?.issues.length, 6);
});

test.run();
