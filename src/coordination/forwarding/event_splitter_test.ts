import assert from 'node:assert/strict';
import {test} from 'uvu';
import {EventSplitter, MAX_EVENT_BYTES} from './event_splitter.ts';

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
  assert.equal(splitter.hasPartialEvent, true);
  assert.deepEqual(split(splitter, '\r\n'), [['2', 'id:2\r\ndata: b\r\n\r\n']]);
  assert.equal(splitter.hasPartialEvent, false);
});

test('push() joins an event that arrives byte by byte', () => {
  const splitter = new EventSplitter();
  const text = 'x-version: 3\nid: 7\ndata: one\ndata: two\n\n';
  const events = [...text].flatMap(letter => split(splitter, letter));
  assert.deepEqual(events, [['7', text]]);
});

test('push() includes blank lines before an event', () => {
  const splitter = new EventSplitter();
  assert.deepEqual(split(splitter, '\n\nid: 1\n\n'), [['1', '\n\nid: 1\n\n']]);
});

test('push() distinguishes events with content from comments', () => {
  const splitter = new EventSplitter();
  const events = splitter.push(
    Buffer.from(': ping\n\ndata: a\n\nid: 1\n\nevent: x\n\n'),
  );
  assert.deepEqual(
    events.map(({hasContent}) => hasContent),
    [false, true, true, false],
  );
});

/** Measures the processor time of `run`, in ms. */
function measureMs(run: () => void): number {
  const before = process.cpuUsage();
  run();
  const {user, system} = process.cpuUsage(before);
  return (user + system) / 1_000;
}

for (const [name, text] of [
  ['bytes without a line end', 'x'.repeat(1_024)],
  ['lines without an empty one', 'data: x\n'.repeat(128)],
] as const) {
  test(`push() rejects ${name} at the size limit, in linear time`, () => {
    const piece = Buffer.from(text);
    const splitter = new EventSplitter();
    let taken = 0;
    const ms = measureMs(() => {
      assert.throws(() => {
        for (;;) {
          splitter.push(piece);
          taken += piece.length;
        }
      }, /larger than/);
    });
    assert.ok(taken <= MAX_EVENT_BYTES, `${taken} bytes were accepted`);
    // Scanning the whole buffer again for each KiB would take seconds.
    assert.ok(ms < 300, `${ms} ms of processor time`);
  });
}

test('push() splits a large input into its events', () => {
  const event = `id: 1\ndata: ${'x'.repeat(100)}\n\n`;
  const splitter = new EventSplitter();
  const events = splitter.push(Buffer.from(event.repeat(20_000)));
  assert.equal(events.length, 20_000);
  assert.equal(splitter.hasPartialEvent, false);
});

test.run();
