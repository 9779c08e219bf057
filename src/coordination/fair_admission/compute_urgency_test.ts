/**
 * Guards against an engine that serves a less urgent request first, and against
 * other urgencies than before where fair admission is off.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {Engine, RoutedService} from '../../protocol/route_table.ts';
import {createRoute} from '../forwarding/forwarding_fakes.ts';
import {computeModelUrgency, computeRankUrgency} from './compute_urgency.ts';

const MODELS = ['small', 'medium', 'large'];

const ENGINE: Engine = {
  slots: 32,
  memoryTokens: 1_000,
  tokensPerEvent: 1,
  models: [],
};

const SERVICE: RoutedService = {
  name: 'app',
  maxConnections: 1,
  engine: ENGINE,
};

function admit(
  routePriority: number,
  customerPriority: number | null = null,
  service = SERVICE,
) {
  return {
    route: createRoute({priority: routePriority, models: MODELS}),
    service,
    customer: {name: 'c', keys: [], priority: customerPriority},
  };
}

test('no model of a rank goes ahead of a more urgent rank', () => {
  for (let rank = 0; rank < 4; rank++) {
    const ahead = MODELS.map(model => computeRankUrgency(admit(rank), model));
    const behind = MODELS.map(model =>
      computeRankUrgency(admit(rank + 1), model),
    );
    assert.ok(
      Math.max(...ahead.map(Number)) < Math.min(...behind.map(Number)),
      `${ahead} of rank ${rank}, ${behind} of the next`,
    );
  }
});

test('the smallest model goes one step ahead within its rank', () => {
  const urgencies = MODELS.map(model => computeRankUrgency(admit(1), model));
  assert.deepEqual(urgencies, [2, 3, 3]);
});

test('the priority of a customer goes before that of the route', () => {
  assert.equal(computeRankUrgency(admit(3, 0), 'large'), 1);
  assert.equal(computeRankUrgency(admit(0, 3), 'large'), 7);
  assert.equal(computeRankUrgency(admit(3), 'large'), 7);
});

test('high priorities stay within the ten steps of engines', () => {
  assert.equal(computeRankUrgency(admit(40), 'small'), 8);
  assert.equal(computeRankUrgency(admit(40), null), 9);
});

test('a plain service gets no urgency', () => {
  const plain = {...SERVICE, engine: null};
  assert.equal(computeRankUrgency(admit(0, null, plain), null), null);
});

test('only the smallest model is more urgent without fair admission', () => {
  const urgencies = MODELS.map(model => computeModelUrgency(admit(3), model));
  assert.deepEqual(urgencies, [4, null, null]);
  assert.equal(computeModelUrgency(admit(0), null), null);
});

test.run();
