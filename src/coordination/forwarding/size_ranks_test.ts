import assert from 'node:assert/strict';
import {test} from 'uvu';
import {NO_FACTS} from './forwarding_fakes.ts';
import {SizeRanks} from './size_ranks.ts';

function createFacts(promptTokens: number) {
  return {...NO_FACTS, promptTokens};
}

test('record() finds the largest third of a route, whatever its sizes', () => {
  for (const unit of [10, 10_000]) {
    const ranks = new SizeRanks();
    let large = 0;
    for (let place = 0; place < 600; place++) {
      // 37 and 100 have no common factor: every size comes equally often.
      const size = ((place * 37) % 100) + 1;
      if (ranks.record('r1', createFacts(size * unit))) large++;
    }
    assert.ok(large > 150 && large < 210, `${large} of 600`);
  }
});

test('record() calls no request large before it knows its route', () => {
  const ranks = new SizeRanks();
  for (let place = 0; place < 60; place++) {
    ranks.record('r1', createFacts(100));
  }
  assert.equal(ranks.record('r2', createFacts(1_000_000)), false);
  assert.equal(ranks.record('r1', createFacts(1_000_000)), true);
});

test.run();
