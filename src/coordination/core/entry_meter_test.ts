import assert from 'node:assert/strict';
import {test} from 'uvu';
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

test.run();
