import assert from 'node:assert/strict';
import {test} from 'uvu';
import {coreExchangeSchema} from './core_service.ts';

const EXCHANGE = {
  from: {
    address: '10.0.0.1:7000',
    region: 'r',
    dataCentre: 'a',
    controlAddress: '',
  },
  cores: [],
  reports: [],
  gateways: [],
  wantsAll: false,
};

// Guards against a field that the schema drops without a word.
test('an exchange keeps the ages of reports', () => {
  const reportAges = [{id: 'e1', ageMs: 9_000}];
  const parsed = coreExchangeSchema.parse({...EXCHANGE, reportAges});
  assert.deepEqual(parsed.reportAges, reportAges);
});

test('an exchange of an earlier version is accepted', () => {
  assert.equal(coreExchangeSchema.parse(EXCHANGE).reportAges, undefined);
});

test.run();
