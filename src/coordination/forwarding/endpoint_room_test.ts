/**
 * Guards against requests that are refused although an endpoint has room a moment
 * later, and against callers that are not told when to return.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {EndpointRule} from '../selection/endpoint_rules.ts';
import {createEndpoint, createRoute, FakeGateway} from './forwarding_fakes.ts';
import {createAnswer} from './fake_answers.ts';

const OBJECTIVE_MS = 1_000;
const RETURN_MS = 2_000;

/** A gateway whose only endpoint has room from a time on. */
function createGateway(roomAtMs: number) {
  const clock = new SimulatedClock();
  const rule: EndpointRule = {
    hasRoom: () => clock.monotonic() >= roomAtMs,
    tryTake: () => clock.monotonic() >= roomAtMs,
    getWaitMs: () => Math.max(0, roomAtMs - clock.monotonic()),
    planReturnMs: () => RETURN_MS,
  };
  return new FakeGateway({
    clock,
    rule,
    route: createRoute({objectiveMs: OBJECTIVE_MS}),
    endpoints: [createEndpoint('e1')],
    behave: async (call, options) =>
      options.mayBegin()
        ? createAnswer(call, options, {status: 200})
        : {type: 'withdrawn'},
  });
}

test('forward() waits for an endpoint that has room soon', async () => {
  const gateway = createGateway(300);
  const sink = await gateway.request();
  assert.equal(sink.status, 200);
  assert.ok(gateway.clock.monotonic() < OBJECTIVE_MS);
});

test('forward() refuses at once when an endpoint has room too late', async () => {
  const gateway = createGateway(900);
  const sink = await gateway.request();
  assert.equal(sink.status, 503);
  assert.ok(gateway.clock.monotonic() < 100);
  const header = sink.headers.find(([name]) => name === 'Retry-After');
  assert.equal(Number(header?.[1]), RETURN_MS / 1_000);
});

test.run();
