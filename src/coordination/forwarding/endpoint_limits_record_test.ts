/**
 * Guards against limits that are forgotten or kept by mistake: answers arrive
 * late, from an earlier start of the endpoint, or through other processes.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {EndpointLimit} from '../../protocol/core_service.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {EndpointLimits} from './endpoint_limits.ts';
import {createEndpoint} from './forwarding_fakes.ts';
import {RecentGateways} from './recent_gateways.ts';

const ENDPOINT = createEndpoint('e1');

const RELAYED: EndpointLimit = {
  id: 'e1',
  startedAtMs: 1,
  perSecond: 2,
  ageMs: 0,
};

/** Limits of a gateway that is alone. */
class Fixture {
  readonly clock = new SimulatedClock();
  readonly limits = new EndpointLimits({
    clock: this.clock,
    logger: silentLogger,
    metrics: silentMetrics,
    random: () => 0.5,
    address: 'g',
    gateways: new RecentGateways({
      clock: this.clock,
      listGateways: () => this.gateways,
    }),
  });
  private readonly gateways = [
    {address: 'g', region: 'r', dataCentre: 'a', open: true},
  ];

  /** Records an answer to a request that was sent `agoMs` before. */
  record(
    limitPerSecond: number | null,
    {endpoint = ENDPOINT, agoMs = 0, isVerified = true} = {},
  ): void {
    const sentAt = this.clock.monotonic() - agoMs;
    this.limits.record(endpoint, {limitPerSecond, isVerified, sentAt});
  }

  isLimited(endpoint = ENDPOINT): boolean {
    return this.limits.planReturnMs('app', [endpoint]) !== null;
  }
}

test('record() keeps a limit after answers to earlier requests', async () => {
  const fixture = new Fixture();
  await fixture.clock.advance(100);
  fixture.record(2);
  await fixture.clock.advance(50);
  fixture.record(null, {agoMs: 60});
  assert.equal(fixture.isLimited(), true);
  fixture.record(null, {agoMs: 40});
  assert.equal(fixture.isLimited(), false);
});

test('record() keeps a limit after answers that may not be the endpoint', async () => {
  const fixture = new Fixture();
  fixture.record(2);
  await fixture.clock.advance(50);
  fixture.record(null, {isVerified: false});
  assert.equal(fixture.isLimited(), true);
});

test('record() ignores limits that are no number', () => {
  const fixture = new Fixture();
  for (const invalid of [NaN, -1, -Infinity]) fixture.record(invalid);
  assert.equal(fixture.isLimited(), false);
});

test('record() keeps a limit to one start of the endpoint', async () => {
  const fixture = new Fixture();
  fixture.record(2);
  const restarted = createEndpoint('e1', {startedAtMs: 2});
  assert.equal(fixture.isLimited(restarted), false);
  fixture.record(3, {endpoint: restarted});
  // An answer of the earlier start arrives late.
  fixture.record(1);
  fixture.limits.pruneEnded(() => restarted);
  assert.deepEqual(
    fixture.limits.listObserved().map(each => each.perSecond),
    [3],
  );
});

test('recordRelayed() applies limits that other gateways observed', async () => {
  const fixture = new Fixture();
  await fixture.clock.advance(5_000);
  fixture.limits.recordRelayed([RELAYED]);
  assert.equal(fixture.isLimited(), true);
  // Only own observations are reported, so that none returns as a new one.
  assert.deepEqual(fixture.limits.listObserved(), []);
  await fixture.clock.advance(3_000);
  fixture.limits.recordRelayed([{...RELAYED, perSecond: null, ageMs: 200}]);
  assert.equal(fixture.isLimited(), false);
});

test('recordRelayed() ignores an end that an own answer contradicts', async () => {
  const fixture = new Fixture();
  await fixture.clock.advance(5_000);
  fixture.record(2);
  await fixture.clock.advance(500);
  fixture.limits.recordRelayed([{...RELAYED, perSecond: null, ageMs: 0}]);
  assert.equal(fixture.isLimited(), true);
});

test('tryTake() lets one gateway alone use the limit', async () => {
  const fixture = new Fixture();
  fixture.record(2);
  let taken = 0;
  for (let ms = 0; ms < 20_000; ms += 50) {
    if (fixture.limits.tryTake(ENDPOINT, 'first')) taken++;
    await fixture.clock.advance(50);
  }
  assert.ok(taken > 32 && taken <= 40, `${taken} of 40`);
});

test('tryTake() does not save up room while no request comes', async () => {
  const fixture = new Fixture();
  fixture.record(2);
  fixture.limits.hasRoom(ENDPOINT);
  await fixture.clock.advance(60_000);
  let taken = 0;
  while (fixture.limits.tryTake(ENDPOINT, 'further')) taken++;
  assert.equal(taken, 1);
});

test.run();
