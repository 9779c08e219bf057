/**
 * Guards against one invalid entry, left by another writer or version, that
 * costs the reader the whole list.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import * as z from 'zod';
import {createEntryList, formatIssues, parseMessage} from './parse_message.ts';

const entrySchema = z.object({
  id: z.string().max(8),
  counts: z.array(z.int()).default([]),
  parts: createEntryList(z.object({size: z.int().min(0)})).default([]),
});

const messageSchema = z.object({
  from: z.string(),
  entries: createEntryList(entrySchema),
});

test('parseMessage() returns a valid message', () => {
  const entries = [{id: 'a', counts: [1], parts: [{size: 1}]}];
  assert.deepEqual(parseMessage(messageSchema, {from: 'x', entries}), {
    ok: true,
    value: {value: {from: 'x', entries}, droppedCount: 0, dropped: []},
  });
});

test('parseMessage() drops invalid entries and keeps the others', () => {
  const parsed = parseMessage(messageSchema, {
    from: 'x',
    entries: [
      {id: 'a'},
      null,
      {id: 1},
      {id: 'b', unknown: [[]]},
      [],
      {id: 'too long for it'},
    ],
  });
  assert.ok(parsed.ok);
  const {value, droppedCount, dropped} = parsed.value;
  assert.deepEqual(
    value.entries.map(({id}) => id),
    ['a', 'b'],
  );
  assert.equal(droppedCount, 4);
  assert.deepEqual(dropped[1], {
    list: 'entries.*',
    reason: 'entries.*.id: Invalid input: expected string, received number',
  });
});

test('parseMessage() drops the innermost entry only', () => {
  const parsed = parseMessage(messageSchema, {
    from: 'x',
    entries: [{id: 'a', parts: [{size: 1}, {size: -1}, {size: 2}]}, {id: 'b'}],
  });
  assert.ok(parsed.ok);
  assert.deepEqual(parsed.value.value.entries, [
    {id: 'a', counts: [], parts: [{size: 1}, {size: 2}]},
    {id: 'b', counts: [], parts: []},
  ]);
});

test('parseMessage() drops the entry that contains an invalid plain list', () => {
  const parsed = parseMessage(messageSchema, {
    from: 'x',
    entries: [{id: 'a', counts: [1, 0.5, 2]}, {id: 'b'}],
  });
  assert.ok(parsed.ok);
  assert.deepEqual(
    parsed.value.value.entries.map(({id}) => id),
    ['b'],
  );
});

test('parseMessage() fails if more than entries is invalid', () => {
  const messages: unknown[] = [
    null,
    [],
    {entries: []},
    {from: 'x', entries: {}},
    {from: 'x'},
    {from: 1, entries: [{id: 1}]},
  ];
  for (const message of messages) {
    const text = JSON.stringify(message);
    assert.equal(parseMessage(messageSchema, message).ok, false, text);
  }
});

test('parseMessage() names a bounded number of many invalid entries', () => {
  const entries = Array.from({length: 50_000}, (_each, index) =>
    index % 2 === 0 ? {id: index} : {id: String(index)},
  );
  const parsed = parseMessage(messageSchema, {from: 'x', entries});
  assert.ok(parsed.ok);
  assert.equal(parsed.value.value.entries.length, 25_000);
  assert.equal(parsed.value.droppedCount, 25_000);
  assert.equal(parsed.value.dropped.length, 8);
});

// Guards against a message of some megabytes whose errors take gigabytes.
test('parseMessage() refuses messages with too many values', () => {
  const entries = Array.from({length: 600_000}, () => 0);
  const nested = {id: 'a', parts: entries};
  for (const list of [entries, [nested]]) {
    const parsed = parseMessage(messageSchema, {from: 'x', entries: list});
    assert.deepEqual(parsed, {ok: false, error: 'too many values'});
  }
});

test('formatIssues() is bounded', () => {
  const schema = z.record(z.string(), z.string());
  const input = Object.fromEntries(
    Array.from({length: 1_000}, (_each, index) => ['k'.repeat(index + 1), 1]),
  );
  const parsed = schema.safeParse(input);
  assert.ok(!parsed.success);
  assert.ok(formatIssues(parsed.error).length < 600);
});

test.run();
