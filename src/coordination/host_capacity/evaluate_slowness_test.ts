/** Guards against hosts whose capacity or shortage is told wrongly. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {computeCapacity} from './compute_capacity.ts';
import {evaluateSlowness, type HostSample} from './evaluate_slowness.ts';

const LIMITS = {cpuShare: 0.5, memoryMib: 300, descriptors: 4_000};

const CALM: HostSample = {
  punctuality: 0.98,
  coreShare: 0.1,
  memoryMib: 80,
  openRequests: 20,
};

function evaluate(change: Partial<HostSample>, level = 0) {
  return evaluateSlowness({...CALM, ...change}, LIMITS, level);
}

test('computeCapacity() takes the scarcer of processor and link', () => {
  assert.equal(computeCapacity({cpuShare: 0.5, linkMbps: 10}), 100);
  assert.equal(computeCapacity({cpuShare: 0.25, linkMbps: 10}), 50);
  assert.equal(computeCapacity({cpuShare: 0.8, linkMbps: 5}), 50);
  assert.equal(computeCapacity({cpuShare: 0.8}), 160);
  assert.equal(computeCapacity({memoryMib: 300}), undefined);
});

test('evaluateSlowness() names the resource that is short', () => {
  assert.deepEqual(evaluate({}), {level: 0, cause: null});
  const shown = (change: Partial<HostSample>) => {
    const {level, cause} = evaluate(change);
    return `${level} ${cause}`;
  };
  assert.equal(shown({punctuality: 0.6}), '1 event-loop');
  assert.equal(shown({punctuality: 0.2}), '3 event-loop');
  assert.equal(shown({coreShare: 0.46}), '1 processor');
  assert.equal(shown({coreShare: 0.7}), '2 processor');
  assert.equal(shown({memoryMib: 275}), '1 memory');
  assert.equal(shown({openRequests: 1_700}), '1 descriptors');
});

test('evaluateSlowness() finds no shortage of what it does not know', () => {
  const sample = {...CALM, coreShare: 3, memoryMib: 9_000, openRequests: 1e6};
  assert.equal(evaluateSlowness(sample, {}, 0).level, 0);
});

// Guards against load that comes back as soon as half of it has left.
test('evaluateSlowness() lowers no level whose work the processor cannot bear', () => {
  assert.equal(evaluate({coreShare: 0.24}, 1).level, 1);
  assert.equal(evaluate({coreShare: 0.15}, 1).level, 0);
  assert.equal(evaluate({coreShare: 0.15}, 2).level, 1);
  assert.equal(evaluate({coreShare: 0.05}, 2).level, 0);
});

test.run();
