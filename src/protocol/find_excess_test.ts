import assert from 'node:assert/strict';
import {test} from 'uvu';
import {findExcess} from './find_excess.ts';
import {MAX_LINEAR_GROWTH, measureGrowth} from './test_growth.ts';

test('findExcess() counts values', () => {
  const texts: ReadonlyArray<readonly [text: string, count: number]> = [
    ['1', 0],
    ['[1]', 1],
    ['[1,2]', 2],
    ['{"a":[1,{"b":2}]}', 4],
    ['["a,b",",[{\\",[" ]', 2],
    ['[[],{}]', 4],
  ];
  for (const [text, count] of texts) {
    assert.equal(findExcess(text, {maxValues: count}), null, text);
    assert.equal(findExcess(text, {maxValues: count - 1}), 'values', text);
  }
});

test('findExcess() finds the depth outside strings', () => {
  const text = '{"[[[":[{"\\"{":"}"}]}';
  assert.equal(findExcess(text, {maxDepth: 3}), null);
  assert.equal(findExcess(text, {maxDepth: 2}), 'depth');
  assert.equal(findExcess(text, {}), null);
});

// Guards against a daemon that hangs while it reads one text: a string without an
// end was read again from each of its quotes.
for (const [name, start, piece] of [
  ['escaped quotes', '"', '\\"'],
  ['values', '[', '1,'],
] as const) {
  test(`findExcess() takes linear time for ${name}`, async () => {
    const growth = await measureGrowth(
      size => `${start}${piece.repeat(size / piece.length)}`,
      text => findExcess(text, {maxDepth: 64, maxValues: 500_000}),
      {size: 8_000},
    );
    assert.ok(growth < MAX_LINEAR_GROWTH, `the time grew ${growth} times`);
  });
}

test.run();
