import assert from 'node:assert/strict';
import {test} from 'uvu';
import {ConfigurationLease} from '../../coordination/leases/configuration_lease.ts';
import {CONFIGURATION_LEASE_MS} from '../../coordination/leases/lease_table.ts';
import type {LeaseReply, LeaseRequest} from '../../protocol/control.ts';
import {declarationSchema} from '../../protocol/declaration.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createLeaseRenewal} from './renew_lease.ts';

/** The interval between checks of the lease. */
const CHECK_INTERVAL_MS = 10;

/**
 * Runs a lease for `ms` while some of five replicas are lost. Returns how long
 * it was not held after the first grant, in ms.
 */
async function runLease(
  isLost: (replica: string, nowMs: number) => boolean,
  ms: number,
) {
  const clock = new SimulatedClock();
  const asked: string[] = [];
  const document = {
    revision: 1,
    declaration: declarationSchema.parse({version: 1}),
    withdrawals: [],
    rollouts: [],
    draining: [],
  };
  const ask = async (
    replica: string,
    request: LeaseRequest,
    timeoutMs: number,
  ): Promise<LeaseReply> => {
    asked.push(replica);
    if (isLost(replica, clock.monotonic())) {
      await clock.sleep(timeoutMs);
      throw new Error('Timed out');
    }
    await clock.sleep(request.waitMs + 2);
    return {
      type: 'granted',
      leaseMs: CONFIGURATION_LEASE_MS,
      revision: 1,
      view: {type: 'whole', document},
      hostsRevision: '',
    };
  };
  const lease = new ConfigurationLease({
    clock,
    logger: silentLogger,
    incarnation: '1',
    describeHost: () => ({
      name: 'host',
      region: 'r',
      dataCentre: 'a',
      publicAddress: 'host:1',
      peerAddress: 'host:2',
      gateway: true,
      leaving: false,
    }),
    renew: createLeaseRenewal({
      clock,
      listReplicas: () => ['a', 'b', 'c', 'd', 'e'],
      ask,
    }),
  });
  lease.start();
  let wasHeld = false;
  let lostMs = 0;
  while (clock.monotonic() < ms) {
    await clock.advance(CHECK_INTERVAL_MS);
    wasHeld ||= lease.isHeld();
    if (wasHeld && !lease.isHeld()) lostMs += CHECK_INTERVAL_MS;
  }
  return {asked, lostMs};
}

// Guards against a lease that is lost at each retry of the nearest replica, when
// the two nearest ones are lost for good.
test('a lease is kept while the nearest two of five replicas are lost', async () => {
  const {asked, lostMs} = await runLease(
    replica => ['a', 'b'].includes(replica),
    60_000,
  );
  assert.equal(lostMs, 0);
  assert.ok(asked.filter(name => name === 'a').length >= 3, asked.join());
});

test('a lease returns to the nearest replica', async () => {
  const {asked, lostMs} = await runLease(
    (replica, nowMs) => replica === 'a' && nowMs < 12_000,
    30_000,
  );
  assert.equal(lostMs, 0);
  assert.deepEqual(new Set(asked.slice(-5)), new Set(['a']));
});

test.run();
