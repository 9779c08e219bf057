import assert from 'node:assert/strict';
import {test} from 'uvu';
import {EventSplitter} from './event_splitter.ts';

function split(splitter: EventSplitter, text: string) {
  return splitter
    .push(Buffer.from(text))
    .map(({id, bytes}) => [id, bytes.toString()]);
}

test('push() returns whole events with their bytes unchanged', () => {
  const splitter = new EventSplitter();
  assert.deepEqual(split(splitter, 'id: 1\ndata: a\n\nid:2\r\ndata: b\r\n'), [
    ['1', 'id: 1\ndata: a\n\n'],
  ]);
  assert.equal(splitter.hasRest, true);
  assert.deepEqual(split(splitter, '\r\n'), [['2', 'id:2\r\ndata: b\r\n\r\n']]);
  assert.equal(splitter.hasRest, false);
});

test('push() joins an event that comes byte by byte', () => {
  const splitter = new EventSplitter();
  const text = 'x-version: 3\nid: 7\ndata: one\ndata: two\n\n';
  const events = [...text].flatMap(letter => split(splitter, letter));
  assert.deepEqual(events, [['7', text]]);
});

test('push() keeps blank lines before an event with it', () => {
  const splitter = new EventSplitter();
  assert.deepEqual(split(splitter, '\n\nid: 1\n\n'), [['1', '\n\nid: 1\n\n']]);
});

test.run();
