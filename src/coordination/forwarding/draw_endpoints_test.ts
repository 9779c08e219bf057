/**
 * Guards against herding: many gateways act on the same out-of-date reports and
 * choose the same endpoint.
 */
import assert from 'node:assert/strict';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {test} from 'uvu';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {drawEndpoints, type DrawEndpointsOptions} from './draw_endpoints.ts';
import {createEndpoint} from './forwarding_fakes.ts';

const ENDPOINTS = Array.from({length: 90}, (_, place) =>
  createEndpoint(`e${place}`, {dataCentre: 'abcdef'[place % 6] ?? ''}),
);

function draw(
  endpoints: readonly EndpointEntry[],
  change: Partial<DrawEndpointsOptions> = {},
): EndpointEntry[] {
  return drawEndpoints(endpoints, {
    dataCentre: 'a',
    hasCachedPrompt: () => false,
    isUsable: () => true,
    random: Math.random,
    ...change,
  });
}

test('drawEndpoints() spreads gateways that have the same outdated reports', () => {
  const generator = xoroshiro128plus(1);
  const random = () => uniformFloat64(generator);
  // The reports rank endpoints by load, the first as the least loaded.
  const rank = new Map(ENDPOINTS.map((endpoint, place) => [endpoint, place]));
  const chosen = new Map<EndpointEntry, number>();
  for (let gateway = 0; gateway < 600; gateway++) {
    const dataCentre = 'abcdef'[gateway % 6] ?? '';
    const [best] = draw(ENDPOINTS, {dataCentre, random}).sort(
      (a, b) => (rank.get(a) ?? 0) - (rank.get(b) ?? 0),
    );
    assert.ok(best);
    chosen.set(best, (chosen.get(best) ?? 0) + 1);
  }
  const most = Math.max(...chosen.values());
  assert.ok(most <= 150, `${most} of 600 chose the same endpoint`);
  assert.ok(chosen.size >= 15, `only ${chosen.size} endpoints were chosen`);
});

test('drawEndpoints() always includes endpoints that have the prompt cached', () => {
  const cacheOwner = ENDPOINTS[77];
  for (let round = 0; round < 50; round++) {
    const drawn = draw(ENDPOINTS, {
      hasCachedPrompt: each => each === cacheOwner,
    });
    assert.ok(drawn.includes(cacheOwner!));
    assert.equal(new Set(drawn).size, drawn.length);
  }
});

test('drawEndpoints() draws only usable endpoints while there is one', () => {
  const [only] = ENDPOINTS;
  assert.deepEqual(draw(ENDPOINTS, {isUsable: each => each === only}), [only]);
  assert.equal(draw(ENDPOINTS, {isUsable: () => false}).length, 12);
});

test('drawEndpoints() returns all endpoints when there are few', () => {
  const few = ENDPOINTS.slice(0, 8);
  assert.deepEqual(new Set(draw(few)), new Set(few));
});

test.run();
