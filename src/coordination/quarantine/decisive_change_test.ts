/**
 * Guards against gateways that call the core for each end of an endpoint in a herd,
 * though most of them decide nothing more.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import type {CrashWatch} from './crash_watch.ts';
import {Quarantine} from './quarantine.ts';

const PART = {kind: 'part' as const, part: 'p'};

/** A gateway that counts the reports that it owes the core. */
class Observing {
  readonly clock = new SimulatedClock();
  urgent = 0;
  readonly quarantine = new Quarantine({
    clock: this.clock,
    logger: silentLogger,
    metrics: silentMetrics,
    trials: {request: async () => null, finish: async () => {}},
    onObservation: () => this.urgent++,
  });
  private endpoints = 0;

  /** Sends a request with the part to another endpoint. */
  send(): CrashWatch {
    return this.quarantine.observe(
      {
        admitted: {service: {name: 'app'}, caller: 'c1'},
        watchedParts: [PART],
        listWatched: () => [PART],
      },
      createEndpoint(`e${this.endpoints++}`),
    );
  }
}

test('ends that decide nothing more wait for the next report', () => {
  const gateway = new Observing();
  const open = Array.from({length: 10}, () => gateway.send());
  for (const each of open) each.recordDisconnect();
  // The second end makes it a suspect that others are told.
  assert.equal(gateway.urgent, 1);
  const [record] = gateway.quarantine.listObserved();
  assert.equal(record?.crashes.length, 10);
});

test('a chain that grows towards a verdict is reported at once', () => {
  const gateway = new Observing();
  for (let level = 1; level <= 3; level++) {
    gateway.send().recordDisconnect();
  }
  assert.equal(gateway.urgent, 2);
});

test('an answer that clears a suspect is reported at once', async () => {
  const gateway = new Observing();
  const answered = gateway.send();
  for (let level = 1; level <= 2; level++) gateway.send().recordDisconnect();
  const before = gateway.urgent;
  await gateway.clock.advance(1);
  answered.recordBegin({status: 200});
  answered.recordEnd({isDelimited: true});
  assert.equal(gateway.urgent, before + 1);
  assert.equal(gateway.quarantine.listObserved()[0]?.level, 0);
});

test.run();
