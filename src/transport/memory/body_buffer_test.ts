import assert from 'node:assert/strict';
import {test} from 'uvu';
import {
  computeLargestRequest,
  computeMemoryBounds,
} from '../../coordination/memory_account/compute_bounds.ts';
import {createDraws} from '../../protocol/seeded_draws.ts';
import {BodyBuffer} from './body_buffer.ts';

const MIB = 1024 * 1024;

function fill(body: Buffer, drawBytes: () => number): BodyBuffer {
  const buffer = new BodyBuffer();
  for (let at = 0; at < body.length;) {
    // A copy, as the parser of Node.js makes one.
    const chunk = Buffer.from(body.subarray(at, at + drawBytes()));
    buffer.add(chunk);
    at += chunk.length;
  }
  return buffer;
}

// Guards against a body whose chunks take many times its bytes.
test('BodyBuffer takes at most twice the bytes, and few buffers', () => {
  const draws = createDraws(1);
  const body = Buffer.from(
    Array.from({length: MIB}, () => draws.between(0, 255)),
  );
  let isSmall = false;
  const chunkings: Record<string, () => number> = {
    one: () => 1,
    whole: () => MIB,
    mixed: () => Math.floor(draws.log(1, 65_536)),
    // Each large chunk does not fit into the segment that the small one began.
    alternating: () => ((isSmall = !isSmall) ? 100 : 16_300),
    halves: () => 8_191,
  };
  for (const [name, drawBytes] of Object.entries(chunkings)) {
    const buffer = fill(body, drawBytes);
    const factor = buffer.costBytes / body.length;
    assert.ok(factor <= 2.05, `${name}: ${factor}`);
    assert.ok(buffer.count <= 140, `${name}: ${buffer.count} buffers`);
    const cost = buffer.costBytes + buffer.computeJoinCost();
    assert.ok(cost <= computeLargestRequest(body.length), name);
    assert.ok(buffer.join().equals(body), name);
  }
});

// Guards against bounds that refuse the largest document in calm.
test('computeMemoryBounds() leaves room for the largest document', () => {
  for (const memoryMib of [undefined, 1, 128, 210, 250, 346, 490]) {
    const {budgetBytes, shareBytes} = computeMemoryBounds(memoryMib);
    const largest = computeLargestRequest(8 * MIB);
    assert.ok(shareBytes >= largest, `${memoryMib}: ${shareBytes}`);
    assert.ok(budgetBytes > largest, `${memoryMib}: ${budgetBytes}`);
  }
});

test.run();
