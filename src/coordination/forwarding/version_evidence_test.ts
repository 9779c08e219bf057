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
  expectedMs: 100,
};

const BEFORE = {isRunning: false, movesSessions: false};
const DURING = {isRunning: true, movesSessions: true};

const LARGE: ObservedAnswer = {...SMALL, model: 'large', beganMs: 900};

/** Creates the evidence of a gateway after a few answers of each model. */
function createCounter(): VersionEvidenceCounter {
  const counter = new VersionEvidenceCounter();
  for (let index = 0; index < 5; index++) {
    counter.record(SMALL, BEFORE);
    counter.record(LARGE, BEFORE);
  }
  return counter;
}

function countSlow(answer: ObservedAnswer): number {
  const counter = createCounter();
  counter.record(answer, DURING);
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
  counter.record(SMALL, DURING);
  assert.equal(counter.list(() => false).length, 0);
  assert.equal(counter.list(() => true).length, 0);
});

test('VersionEvidenceCounter counts answers by their time for the same work', () => {
  const counter = createCounter();
  for (const beganMs of [50, 100, 100, 400]) {
    counter.record({...SMALL, beganMs}, DURING);
  }
  const [pace] = counter.listPaces(() => true);
  const found = pace?.counts.flatMap((count, index) =>
    count > 0 ? [[index, count]] : [],
  );
  assert.deepEqual(found, [
    [9, 1],
    [12, 2],
    [18, 1],
  ]);
});

test.run();
