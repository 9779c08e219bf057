import {setImmediate} from 'node:timers/promises';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {LineWriter} from './line_writer.ts';

test('LineWriter writes the lines of one event loop turn together', async () => {
  const written: string[] = [];
  const writer = new LineWriter({
    write: (text, done) => {
      written.push(text);
      done();
    },
  });
  writer.add('a');
  writer.add('b');
  await setImmediate();
  writer.add('c');
  await setImmediate();
  assert.equal(written, ['a\nb\n', 'c\n']);
});

test('LineWriter drops lines above its limit while a write is stuck', async () => {
  const written: string[] = [];
  let finish: () => void = () => {};
  const writer = new LineWriter({
    maxQueuedCharacters: 3,
    write: (text, done) => {
      written.push(text);
      finish = done;
    },
  });
  writer.add('a');
  await setImmediate();
  for (const line of ['b', 'c', 'd', 'e', 'f']) writer.add(line);
  assert.equal(written, ['a\n']);
  finish();
  await setImmediate();
  assert.equal(written[1], 'b\nc\nd\nDropped 2 log lines.\n');
});

test.run();
