/**
 * Guards against two gateways that use the same units, since one has not heard of
 * the other.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {Gateway} from '../../protocol/gateway_entry.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {RecentGateways} from '../forwarding/recent_gateways.ts';
import {ShareLease} from './share_lease.ts';

const SELF: Gateway = {address: 'g', region: 'r', dataCentre: 'a', open: true};

class Fixture {
  readonly clock = new SimulatedClock();
  listed: Gateway[] = [SELF];
  readonly lease = new ShareLease({
    clock: this.clock,
    address: SELF.address,
    gateways: new RecentGateways({
      clock: this.clock,
      listGateways: () => this.listed,
    }),
  });

  /** Lets time pass in contact with the core. */
  async follow(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 500) {
      await this.clock.advance(500);
      this.lease.recordContact(this.clock.monotonic());
    }
  }
}

test('isHeld() waits until all others know of a new gateway', async () => {
  const fixture = new Fixture();
  await fixture.follow(4_500);
  assert.equal(fixture.lease.isHeld(), false);
  await fixture.follow(1_000);
  assert.equal(fixture.lease.isHeld(), true);
});

test('isHeld() ends without contact and resumes with it', async () => {
  const fixture = new Fixture();
  await fixture.follow(6_000);
  await fixture.clock.advance(2_100);
  assert.equal(fixture.lease.isHeld(), false);
  fixture.lease.recordContact(fixture.clock.monotonic());
  assert.equal(fixture.lease.isHeld(), true);
});

// Guards against a gateway that resumes with units that others have taken.
test('isHeld() waits again after a time for which others drop the gateway', async () => {
  const fixture = new Fixture();
  await fixture.follow(6_000);
  await fixture.clock.advance(5_000);
  fixture.lease.recordContact(fixture.clock.monotonic());
  assert.equal(fixture.lease.isHeld(), false);
  await fixture.follow(5_000);
  assert.equal(fixture.lease.isHeld(), true);
});

test('isHeld() waits again once the gateway was not listed', async () => {
  const fixture = new Fixture();
  await fixture.follow(6_000);
  fixture.listed = [];
  await fixture.follow(500);
  assert.equal(fixture.lease.isHeld(), false);
  fixture.listed = [SELF];
  await fixture.follow(500);
  assert.equal(fixture.lease.isHeld(), false);
});

// Guards against callers that waited for a frozen process and all reach an endpoint
// that turned cold meanwhile; and against one that stays restricted without a core.
test('isResuming() lasts until contact, and not for long', async () => {
  const fixture = new Fixture();
  await fixture.follow(6_000);
  assert.equal(fixture.lease.isResuming(), false);
  await fixture.clock.advance(3_000);
  assert.equal(fixture.lease.isResuming(), true);
  // The answer to a call from before the freeze.
  fixture.lease.recordContact(fixture.clock.monotonic() - 3_000);
  assert.equal(fixture.lease.isResuming(), true);
  fixture.lease.recordContact(fixture.clock.monotonic());
  assert.equal(fixture.lease.isResuming(), false);
  await fixture.clock.advance(3_000);
  assert.equal(fixture.lease.isResuming(), true);
  await fixture.clock.advance(700);
  assert.equal(fixture.lease.isResuming(), false);
});

test.run();
