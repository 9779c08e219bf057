import assert from 'node:assert/strict';
import {test} from 'uvu';
import {coreExchangeSchema, coreReplySchemas} from './core_service.ts';

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

test('the reply to an exchange keeps the ages of reports', () => {
  const reportAges = [{id: 'e1', ageMs: 9_000}];
  const reply = {cores: [], reports: [], gateways: [], reportAges};
  assert.deepEqual(coreReplySchemas.exchangeCore.parse(reply), reply);
});

test('the reply to a gateway keeps the silent core daemons', () => {
  const reply = {
    epoch: 'e',
    endpointRevision: 1,
    complete: true,
    settled: true,
    endpoints: [],
    configuration: null,
    cores: [],
    silentCores: ['10.0.0.1:7000'],
    loads: [],
    gatewayRevision: 1,
    openGateways: null,
    fresh: true,
  };
  assert.deepEqual(coreReplySchemas.follow.parse(reply), reply);
});

test('the reply to a request for a trial keeps the identifier', () => {
  const reply = {isGranted: true, trial: 7, suspects: []};
  assert.deepEqual(coreReplySchemas.requestTrial.parse(reply), reply);
});

test.run();
