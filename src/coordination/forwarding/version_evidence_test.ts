/**
 * Guards against a slow version that goes unnoticed in a cascade, where each
 * gateway sees only a few of its answers and models differ in speed.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {
  VersionEvidenceCounter,
  type ObservedAnswer,
} from './version_evidence.ts';

const SMALL: ObservedAnswer = {
  service: 'model',
  version: 'v1',
  route: 'letters',
  model: 'small',
  isFailure: false,
  beganMs: 110,
};

const LARGE: ObservedAnswer = {...SMALL, model: 'large', beganMs: 900};

/** Creates the evidence of a gateway after a few answers of each model. */
function createCounter(): VersionEvidenceCounter {
  const counter = new VersionEvidenceCounter();
  for (let index = 0; index < 5; index++) {
    counter.record(SMALL, false);
    counter.record(LARGE, false);
  }
  return counter;
}

function countSlow(answer: ObservedAnswer): number {
  const counter = createCounter();
  counter.record(answer, true);
  return counter.list(() => true)[0]?.slow ?? -1;
}

test('VersionEvidenceCounter compares each model with its own baseline', () => {
  assert.equal(countSlow(SMALL), 0);
  assert.equal(countSlow(LARGE), 0);
  assert.equal(countSlow({...SMALL, beganMs: 800}), 1);
  assert.equal(countSlow({...LARGE, beganMs: 1_500}), 0);
});

test('VersionEvidenceCounter counts an answer that never began as slow', () => {
  assert.equal(countSlow({...LARGE, beganMs: null}), 1);
});

test('VersionEvidenceCounter drops services without a roll-out', () => {
  const counter = createCounter();
  counter.record(SMALL, true);
  assert.equal(counter.list(() => false).length, 0);
  assert.equal(counter.list(() => true).length, 0);
});

test.run();
