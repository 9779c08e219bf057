/**
 * Guards against reports that carry all that a gateway knows with each call: the more
 * often core daemons wake gateways, the more they are sent.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {FollowReport} from '../../protocol/core_service.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {SuspectRecord} from '../../protocol/suspect.ts';
import {createGatewayReport} from '../core/gateway_report_fake.ts';
import {createFollowReply} from '../forwarding/forwarding_fakes.ts';
import {ReportDifferences} from './report_differences.ts';

const LOADS = [{id: 'e1', open: 1, readingMs: 0}];

/** A gateway that observed suspects, of which each one is a revision. */
class Reporting {
  readonly clock = new SimulatedClock();
  readonly observed: string[] = [];
  newRuns = 0;
  private epoch = '';
  private readonly reports = new ReportDifferences({
    clock: this.clock,
    createReport: () => createGatewayReport({address: 'g'}, {loads: LOADS}),
    listObserved: revision => ({
      records: this.observed
        .slice(revision)
        .map(part => ({part}) as SuspectRecord),
      revision: this.observed.length,
    }),
    onEpoch: () => this.newRuns++,
  });

  create(): FollowReport {
    return this.reports.create(this.epoch).report;
  }

  acknowledge(report: FollowReport, epoch: string, keepsReports = true): void {
    this.reports.recordReply(
      {
        report,
        epoch: this.epoch,
        endpointRevision: 0,
        configurationRevision: 0,
        gatewayRevision: 0,
        holdMs: 0,
      },
      createFollowReply({epoch, keepsReports}),
    );
    this.epoch = epoch;
  }

  fail(): void {
    this.reports.recordFailure();
  }
}

const listParts = ({suspects}: FollowReport) => suspects.map(({part}) => part);

test('a report tells what the followed daemon has not acknowledged', () => {
  const gateway = new Reporting();
  gateway.observed.push('a');
  const first = gateway.create();
  assert.deepEqual(listParts(first), ['a']);
  gateway.acknowledge(first, 'c1');
  gateway.observed.push('b');
  const second = gateway.create();
  assert.deepEqual(listParts(second), ['b']);
  // The call before it is still held.
  gateway.observed.push('c');
  const third = gateway.create();
  assert.deepEqual(listParts(third), ['b', 'c']);
  gateway.acknowledge(third, 'c1');
  gateway.acknowledge(second, 'c1');
  assert.deepEqual(listParts(gateway.create()), []);
});

test('another run of a daemon gets a whole report', () => {
  const gateway = new Reporting();
  gateway.observed.push('a');
  gateway.acknowledge(gateway.create(), 'c1');
  gateway.acknowledge(gateway.create(), 'c2');
  assert.equal(gateway.newRuns, 2);
  gateway.observed.push('b');
  gateway.acknowledge(gateway.create(), 'c2');
  gateway.acknowledge(gateway.create(), 'c3', false);
  const report = gateway.create();
  assert.deepEqual(listParts(report), ['a', 'b']);
  assert.deepEqual(report.loads, LOADS);
});

test('loads are left out for a while after a report with them', async () => {
  const gateway = new Reporting();
  gateway.acknowledge(gateway.create(), 'c1');
  assert.deepEqual(gateway.create().loads, LOADS);
  await gateway.clock.advance(100);
  assert.equal(gateway.create().loads, undefined);
  gateway.fail();
  assert.deepEqual(gateway.create().loads, LOADS);
  await gateway.clock.advance(250);
  assert.deepEqual(gateway.create().loads, LOADS);
});

test.run();
