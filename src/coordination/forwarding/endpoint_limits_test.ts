/**
 * Guards against endpoints that get more requests than the limit that they
 * named: because no gateway heeds it, or because each takes all of it.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {assertWithinLimits} from './assert_within_limits.ts';
import {SimulatedSite} from '../simulation/simulated_site.ts';
import type {SimulatedSiteOptions} from '../simulation/simulated_site_types.ts';

const SEEDS = [1, 2, 3, 4, 5, 6];

type Pattern = Omit<SimulatedSiteOptions, 'seed'>;

/** A burst far above the limits of two of six endpoints, as in the incident. */
const TWO_LIMITED: Pattern = {
  limits: [
    {endpoint: 0, perSecond: 1.6, fromMs: 2_000, untilMs: 40_000},
    {endpoint: 1, perSecond: 2.8, fromMs: 2_000, untilMs: 40_000},
  ],
};

/** All endpoints of a service name a limit. */
const ALL_LIMITED: Pattern = {
  endpoints: 3,
  limits: [0, 1, 2].map(endpoint => ({
    endpoint,
    perSecond: 2,
    fromMs: 2_000,
    untilMs: 40_000,
  })),
};

test('forward() keeps all gateways together within the limit of an endpoint', async () => {
  for (const seed of SEEDS) {
    const site = new SimulatedSite({...TWO_LIMITED, seed});
    await site.run(20_000, 60);
    assertWithinLimits(site, TWO_LIMITED);
    // The other endpoints have room for all of them.
    assert.deepEqual(site.refusals, []);
    // The endpoints are not given up: most of each limit is used.
    assert.ok(site.countArrivals(0, 6_000, 20_000) > 1.6 * 14 * 0.5);
    assert.ok(site.countArrivals(1, 6_000, 20_000) > 2.8 * 14 * 0.5);
  }
});

// Guards against retries that pass a check which first attempts do not.
test('forward() counts retries of failed requests against a limit', async () => {
  for (const seed of SEEDS) {
    const pattern = {...TWO_LIMITED, failureShare: 0.4};
    const site = new SimulatedSite({...pattern, seed});
    await site.run(20_000, 60);
    assertWithinLimits(site, pattern);
  }
});

// Guards against a sum of shares above the limit while gateways come and go,
// or while they follow core daemons that know only some gateways.
test('forward() keeps a limit while gateways and core daemons restart', async () => {
  for (const seed of SEEDS) {
    const site = new SimulatedSite({...TWO_LIMITED, seed});
    await site.run(5_000, 60);
    for (let index = 0; index < 9; index++) {
      site.restartGateway(index);
      await site.run(300, 60);
      site.restartCore(index % 5);
      await site.run(500, 60);
    }
    for (let index = 0; index < 5; index++) site.restartCore(index);
    site.cutGateway(1, 3_000);
    site.cutGateway(2, 6_000);
    await site.run(8_000, 60);
    assertWithinLimits(site, TWO_LIMITED);
  }
});

// Guards against shares of at least one request each among many gateways.
test('forward() keeps a limit with 87 gateways', async () => {
  for (const seed of SEEDS.slice(0, 2)) {
    const pattern = {...TWO_LIMITED, gateways: 87, cores: 9, endpoints: 12};
    const site = new SimulatedSite({...pattern, seed});
    await site.run(15_000, 120);
    assertWithinLimits(site, pattern);
  }
});

test('forward() keeps limits of all sizes', async () => {
  for (const perSecond of [0, 0.1, 0.5, 1, 3.7, 9, 25]) {
    const limits = [{endpoint: 0, perSecond, fromMs: 1_000, untilMs: 40_000}];
    const pattern = {limits, endpoints: 2};
    const site = new SimulatedSite({...pattern, seed: 7});
    await site.run(15_000, 60);
    assertWithinLimits(site, pattern);
  }
});

test('forward() refuses at once what the limits of all endpoints leave no room for', async () => {
  for (const seed of SEEDS) {
    const site = new SimulatedSite({...ALL_LIMITED, seed});
    await site.run(6_000, 14);
    const before = site.answered;
    const refusedBefore = site.refusals.length;
    await site.run(14_000, 14);
    assertWithinLimits(site, ALL_LIMITED);
    const served = site.answered - before;
    assert.ok(served > 6 * 14 * 0.6, `${served} of ${6 * 14}`);
    const refusals = site.refusals.slice(refusedBefore);
    assert.ok(refusals.length > 0);
    for (const {waitedMs, retryAfterMs} of refusals) {
      assert.ok(waitedMs < 50, `waited ${waitedMs} ms`);
      assert.ok(retryAfterMs >= 0 && retryAfterMs <= 5_000);
    }
  }
});

// Guards against callers that return together at a time without room for them.
test('forward() spreads returning callers at the rate of the limits', async () => {
  for (const seed of SEEDS) {
    const site = new SimulatedSite({...ALL_LIMITED, seed});
    await site.run(6_000, 14);
    const returns = site.refusals
      .filter(({atMs, retryAfterMs}) => atMs > 4_000 && retryAfterMs < 4_900)
      .map(({atMs, retryAfterMs}) => atMs + retryAfterMs);
    for (const from of returns) {
      const count = returns.filter(at => at >= from && at < from + 1_000);
      assert.ok(count.length <= 6 + 9, `${count.length} from ${from} ms on`);
    }
  }
});

test('forward() sends an endpoint all requests again once its limit ended', async () => {
  for (const seed of SEEDS) {
    const limits = [
      {endpoint: 0, perSecond: 1.6, fromMs: 2_000, untilMs: 10_000},
    ];
    const site = new SimulatedSite({limits, seed});
    await site.run(20_000, 60);
    // An even part of the load is 10 a second.
    const count = site.countArrivals(0, 15_000, 20_000);
    assert.ok(count > 30, `${count} requests in 5 s`);
  }
});

// Guards against gateways that keep a limit for good, since they heard of its
// last change right before its end.
test('forward() sends all requests again after a limit that changed until its end', async () => {
  for (const seed of SEEDS) {
    const limits = Array.from({length: 40}, (_, index) => ({
      endpoint: 0,
      perSecond: 2 + (index % 7) / 10,
      fromMs: 2_000 + index * 200,
      untilMs: 2_200 + index * 200,
    }));
    const site = new SimulatedSite({limits, seed});
    await site.run(24_000, 60);
    const late = site.arrivals.filter(
      ({endpoint, atMs}) => endpoint === 0 && atMs >= 18_000,
    );
    const senders = new Set(late.map(({gateway}) => gateway));
    assert.equal(senders.size, 9, `seed ${seed}: only ${[...senders]}`);
  }
});

test.run();
