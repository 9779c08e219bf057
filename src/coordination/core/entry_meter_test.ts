import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {SuspectRecord} from '../../protocol/suspect.ts';
import {countExchangeEntries, EntryMeter} from './entry_meter.ts';
import {createGatewayReport} from './gateway_report_fake.ts';

test('EntryMeter sums entries by message and field until they are taken', () => {
  const meter = new EntryMeter();
  const report = createGatewayReport(
    {address: 'a'},
    {loads: [{id: 'e1', open: 1, readingMs: 0}]},
  );
  const exchange = {reports: [], gateways: [{report, ageMs: 0}]};
  meter.record('exchange', countExchangeEntries(exchange));
  meter.record('exchange', countExchangeEntries(exchange));
  meter.record('suspects', {told: 5, changed: 0});
  assert.deepEqual(Object.fromEntries(meter.take()), {
    exchange: {gateways: 2, loads: 2},
    suspects: {told: 5},
  });
  assert.equal(meter.take().size, 0);
});

// Guards against a line of the load that tells no suspects while exchanges carry them.
test('countExchangeEntries() counts suspects beside the reports, too', () => {
  const suspect: SuspectRecord = {
    service: 'app',
    kind: 'part',
    part: 'p',
    customers: [],
    level: 1,
    isCondemned: false,
    crashes: [],
    clearedAgeMs: null,
  };
  const report = createGatewayReport({address: 'a'}, {suspects: [suspect]});
  const exchange = {
    reports: [],
    gateways: [{report, ageMs: 0}],
    suspects: [suspect, suspect],
  };
  assert.equal(countExchangeEntries(exchange)['suspects'], 3);
});

test.run();
