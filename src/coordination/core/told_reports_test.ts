/**
 * Guards against departures that go both ways between each two core daemons, since
 * each that is asked for one passes it on to all others.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {CoreState} from './core_state.ts';
import {PeerOutbox} from './peer_outbox.ts';

/** A core daemon, and what it tells the daemon "peer". */
class Telling {
  readonly clock = new SimulatedClock();
  readonly state = new CoreState({
    clock: this.clock,
    logger: silentLogger,
    self: {address: 'self', region: 'r', dataCentre: 'a', controlAddress: ''},
  });
  private readonly outbox = new PeerOutbox(this.state);

  hear(from: string, ...reports: EndpointReport[]): void {
    this.state.mergeExchange({cores: [], reports, gateways: []}, from);
  }

  /** Lists what the next exchange tells. */
  tell(): string[] {
    this.outbox.add(this.state.takePendingReports());
    const options = {now: 0, intervalMs: 0, wantsAll: false, peer: 'peer'};
    const {reports} = this.outbox.createExchange(options).content;
    return reports.map(({id, state}) => `${id} ${state}`);
  }
}

function createReport(change: Partial<EndpointReport> = {}): EndpointReport {
  const {silent: _silent, ...report} = createEndpoint('e1', {
    state: 'draining',
    sequence: 5,
    ...change,
  });
  return report;
}

test('a departure is not told back to who told it', () => {
  const daemon = new Telling();
  daemon.state.recordDepartures([createReport()]);
  daemon.hear('peer', createReport());
  assert.deepEqual(daemon.tell(), []);
});

test('a departure that another daemon told is passed on', () => {
  const daemon = new Telling();
  daemon.state.recordDepartures([createReport()]);
  daemon.hear('other', createReport());
  assert.deepEqual(daemon.tell(), ['e1 draining']);
});

test('what says more than the peer told is passed on', () => {
  const later = [
    {state: 'gone'},
    {sequence: 6},
    {startedAtMs: 2, sequence: 0},
  ] as const;
  for (const change of later) {
    const daemon = new Telling();
    daemon.hear('peer', createReport());
    daemon.state.recordReport(createReport(change));
    assert.equal(daemon.tell().length, 1, JSON.stringify(change));
  }
});

// Guards against a departure that is lost, since the peer told a later heartbeat of
// an endpoint that it does not know to leave.
test('a departure is told to a peer that takes the endpoint for ready', () => {
  const daemon = new Telling();
  daemon.state.recordReport(createReport());
  daemon.hear('peer', createReport({state: 'ready', sequence: 9}));
  assert.deepEqual(daemon.tell(), ['e1 draining']);
});

test('what was told is kept as long as the endpoint is known', async () => {
  const daemon = new Telling();
  daemon.hear('peer', createReport());
  daemon.state.sweep();
  assert.ok(daemon.state.told.covers('peer', createReport()));
  await daemon.clock.advance(70_000);
  daemon.state.sweep();
  assert.ok(!daemon.state.told.covers('peer', createReport()));
});

test.run();
