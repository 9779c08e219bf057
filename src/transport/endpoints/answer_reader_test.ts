import assert from 'node:assert/strict';
import {test} from 'uvu';
import {MAX_LINEAR_GROWTH, measureGrowth} from '../../protocol/test_growth.ts';
import {AnswerReader} from './answer_reader.ts';

/** Bytes of a stream that take long to split if they are searched repeatedly. */
const SLOW_BYTES: Readonly<Record<string, (size: number) => string>> = {
  'line feeds before a carriage return': size => `${'\n'.repeat(size)}\rx`,
  'carriage returns without a line feed': size => `${'\r'.repeat(size)}x`,
  'a line without an end': size => 'x'.repeat(size),
  'lines without an empty one': size => 'data: x\n'.repeat(size / 8),
};

// Guards against a gateway that hangs while it splits what an endpoint sends: each
// line was searched for up to the end of what had arrived.
for (const [name, create] of Object.entries(SLOW_BYTES)) {
  test(`read() takes linear time for ${name}`, async () => {
    const growth = await measureGrowth(
      size => Buffer.from(create(size)),
      bytes => new AnswerReader('a1', 0).read(bytes),
      {size: 32_000, rounds: 3},
    );
    assert.ok(growth < MAX_LINEAR_GROWTH, `the time grew ${growth} times`);
  });
}

test.run();
