/** Guards against attempts that one of several rules forbids. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {CallRun} from '../forwarding/call_run.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {EndpointRules, type EndpointRule} from './endpoint_rules.ts';

const ENDPOINT = createEndpoint('e1');
const RUN = {sends: 0} as CallRun;

/** A rule with room for a number of requests. */
function createCounter(room: number): EndpointRule & {readonly left: number} {
  return {
    get left() {
      return room;
    },
    hasRoom: () => room > 0,
    tryTake: () => room-- > 0,
  };
}

test('EndpointRules allow what all rules allow', () => {
  const north: EndpointRule = {isAllowed: (_run, {id}) => id === 'e1'};
  const rules = new EndpointRules([{}, north]);
  assert.equal(rules.isAllowed(RUN, ENDPOINT), true);
  assert.equal(rules.isAllowed(RUN, createEndpoint('e2')), false);
  assert.equal(rules.mayBegin(RUN, createEndpoint('e2')), false);
});

test('EndpointRules take no room of a rule while another has none', () => {
  const large = createCounter(5);
  const small = createCounter(1);
  const rules = new EndpointRules([large, small]);
  assert.equal(rules.mayBegin(RUN, ENDPOINT), true);
  assert.equal(rules.hasRoom(ENDPOINT), false);
  assert.equal(rules.mayBegin(RUN, ENDPOINT), false);
  assert.equal(large.left, 4);
});

test('EndpointRules wait for all rules without room', () => {
  const soon: EndpointRule = {hasRoom: () => false, getWaitMs: () => 50};
  const later: EndpointRule = {hasRoom: () => false, getWaitMs: () => 80};
  const never: EndpointRule = {hasRoom: () => false};
  const free: EndpointRule = {hasRoom: () => true, getWaitMs: () => 900};
  assert.equal(new EndpointRules([{}, free]).getWaitMs(ENDPOINT), 0);
  assert.equal(new EndpointRules([soon, later, free]).getWaitMs(ENDPOINT), 80);
  assert.equal(new EndpointRules([soon, never]).getWaitMs(ENDPOINT), Infinity);
});

test('EndpointRules plan a return by the endpoints without room', () => {
  const planned: string[] = [];
  const north: EndpointRule = {
    hasRoom: ({id}) => id !== 'e1',
    planReturnMs: (_service, endpoints) => {
      planned.push(...endpoints.map(({id}) => id));
      return 400;
    },
  };
  const south: EndpointRule = {
    hasRoom: ({id}) => id !== 'e2',
    planReturnMs: () => 300,
  };
  const rules = new EndpointRules([{}, north, south]);
  const endpoints = ['e1', 'e2'].map(id => createEndpoint(id));
  assert.equal(rules.planReturnMs('app', endpoints), 300);
  assert.deepEqual(planned, ['e1']);
  assert.equal(rules.planReturnMs('app', [createEndpoint('e3')]), null);
});

test.run();
