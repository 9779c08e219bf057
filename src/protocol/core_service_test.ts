import assert from 'node:assert/strict';
import {test} from 'uvu';
import {
  coreExchangeSchema,
  coreReplySchemas,
  followRequestSchema,
} from './core_service.ts';

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

test('the call of a gateway keeps its run, which earlier versions omit', () => {
  const gateway = {
    address: '10.1.0.1:80',
    region: 'r',
    dataCentre: 'a',
    open: true,
  };
  const request = {
    report: {gateway},
    epoch: 'e',
    endpointRevision: 1,
    configurationRevision: 1,
    gatewayRevision: 1,
    holdMs: 800,
  };
  const parsed = followRequestSchema.parse({...request, run: 'g/1'});
  assert.equal(parsed.run, 'g/1');
  assert.equal(followRequestSchema.parse(request).run, undefined);
});

test('a confirmation keeps the run of the gateway, which earlier versions omit', () => {
  const follower = {address: '10.1.0.1:80', isConfirmed: true, ageMs: 3};
  const followers = [{...follower, run: 'g/1'}, follower];
  const reply = {isHeld: true, followers};
  assert.deepEqual(coreReplySchemas.confirmChange.parse(reply), reply);
});

test('the reply to a request for a trial keeps the identifier', () => {
  const reply = {isGranted: true, trial: 7, suspects: []};
  assert.deepEqual(coreReplySchemas.requestTrial.parse(reply), reply);
});

test.run();
