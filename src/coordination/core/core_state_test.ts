/**
 * Guards against requests to an endpoint that reported its shutdown to a single
 * gateway: every core daemon must mark it as draining.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {GatewayReport} from '../../protocol/core_service.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {CoreState} from './core_state.ts';

const REPORT: GatewayReport = {
  gateway: {address: 'g', region: 'r', dataCentre: 'a', open: true},
  loads: [],
  evidence: [],
  paces: [],
  leaving: [{id: 'e1', startedAtMs: 1}],
  limits: [],
  suspects: [],
};

function createState(address: string, clock: SimulatedClock): CoreState {
  const state = new CoreState({
    clock,
    logger: silentLogger,
    self: {address, region: 'r', dataCentre: 'a', controlAddress: ''},
  });
  state.recordReport(createEndpoint('e1'));
  return state;
}

test('a gateway report marks its leaving endpoints as draining', () => {
  const state = createState('c1', new SimulatedClock());
  const before = state.endpoints.revision;
  state.gateways.recordDirect(REPORT);
  assert.equal(state.endpoints.find('e1')?.state, 'draining');
  assert.ok(state.endpoints.revision > before);
});

test('an exchange marks leaving endpoints as draining on other daemons', () => {
  const clock = new SimulatedClock();
  const first = createState('c1', clock);
  const second = createState('c2', clock);
  first.gateways.recordDirect(REPORT);
  second.receiveExchange({
    from: first.self,
    cores: [],
    reports: [],
    gateways: first.gateways.listDirect(-Infinity),
    wantsAll: false,
  });
  assert.equal(second.endpoints.find('e1')?.state, 'draining');
});

test.run();
