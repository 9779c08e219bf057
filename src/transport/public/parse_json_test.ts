import assert from 'node:assert/strict';
import {test} from 'uvu';
import {MAX_LINEAR_GROWTH, measureGrowth} from '../../protocol/test_growth.ts';
import {parseJson} from './parse_json.ts';

/** The accepted depth of nested values. */
const MAX_DEPTH = 64;

function nest(depth: number, open = '[', close = ']'): string {
  return open.repeat(depth) + close.repeat(depth);
}

test('parseJson() parses values', () => {
  for (const value of [null, 1, '', 'a"b\\', [1, {a: ['}']}], {'[{': '\\"'}]) {
    const parsed = parseJson(JSON.stringify(value));
    assert.deepEqual(parsed, {ok: true, value});
  }
});

test('parseJson() refuses what is not JSON', () => {
  for (const text of [
    '',
    '{',
    '"a',
    '"a\\',
    '"\\"',
    '[1,]',
    ']',
    '}{',
    '"\n"',
  ]) {
    const parsed = parseJson(text);
    assert.deepEqual(parsed, {ok: false, error: 'the body is not JSON'}, text);
  }
});

test('parseJson() refuses deep nesting of any brackets', () => {
  for (const [open, close] of [
    ['[', ']'],
    ['{"a":', '}'],
    ['[{"a":"]}\\"",', '}]'],
  ] as const) {
    const parsed = parseJson(nest(MAX_DEPTH + 1, open, close));
    assert.ok(!parsed.ok && parsed.error.includes('deeper than'), open);
  }
  assert.equal(parseJson(nest(MAX_DEPTH)).ok, true);
});

test('parseJson() ignores brackets in strings', () => {
  const value = [nest(100), `\\"${nest(100)}`, '\\', '"'.repeat(100)];
  assert.deepEqual(parseJson(JSON.stringify(value)), {ok: true, value});
});

/** Texts of a length that take long to read if they are searched repeatedly. */
const SLOW_TEXTS: Readonly<Record<string, (length: number) => string>> = {
  'encoded twice and cut off': length =>
    JSON.stringify(JSON.stringify(Array(length).fill('1'))).slice(0, length),
  'one string without an end': length => `"${'x'.repeat(length)}`,
  'escaped quotes without an end': length => `"${'\\"'.repeat(length / 2)}`,
  'backslashes without an end': length => `"${'\\'.repeat(length)}`,
  quotes: length => '"'.repeat(length),
  'closing brackets': length => ']'.repeat(length),
  'empty arrays': length => '[]'.repeat(length / 2),
  'escaped quotes in a whole string': length =>
    JSON.stringify('"'.repeat(length / 2)),
};

// Guards against a daemon that hangs while it reads one report: 64,000 characters
// of escaped quotes took seconds.
for (const [name, create] of Object.entries(SLOW_TEXTS)) {
  test(`parseJson() takes linear time for ${name}`, async () => {
    const growth = await measureGrowth(create, parseJson, {size: 8_000});
    assert.ok(growth < MAX_LINEAR_GROWTH, `the time grew ${growth} times`);
  });
}

test.run();
