/** Guards against refusals while under half of the slots are taken and nothing waits. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {CallRun} from '../forwarding/call_run.ts';
import {EndpointHealth} from '../forwarding/endpoint_health.ts';
import {createAnswer} from '../forwarding/fake_answers.ts';
import {createCall} from '../forwarding/call_fakes.ts';
import {createEndpoint, createRoute} from '../forwarding/forwarding_fakes.ts';
import {ServiceRoom} from './service_room.ts';

/** Two endpoints of four slots each. */
const ENDPOINTS = [createEndpoint('e1'), createEndpoint('e2')];

interface RoomSetting {
  /** Requests that other gateways have open at each endpoint. */
  readonly others?: number;
  readonly isViewFresh?: boolean;
}

function createRoom({others = 0, isViewFresh = true}: RoomSetting = {}) {
  const clock = new SimulatedClock();
  const health = new EndpointHealth(clock);
  const room = new ServiceRoom({
    clock,
    health,
    view: {
      listEndpoints: () => ENDPOINTS,
      getOtherLoad: id => ({id, open: others, readingMs: 0}),
    },
    notices: {mayReceive: () => true},
    rules: {isAllowed: () => true},
    isViewFresh: () => isViewFresh,
  });
  const run = new CallRun({
    call: createCall('c', {}),
    route: createRoute(),
    service: {name: 'app', maxConnections: 1, engine: null},
    customer: null,
    caller: null,
    deadline: 1_000,
    isRepeatable: true,
  });
  return {clock, health, room, hasRoom: () => room.hasRoom(run, 0)};
}

test('there is room while under half of the slots are taken', () => {
  const {health, hasRoom} = createRoom({others: 1});
  assert.ok(hasRoom());
  const open = ENDPOINTS.map(each => health.open(each));
  assert.ok(!hasRoom());
  for (const each of open) each[Symbol.dispose]();
  assert.ok(hasRoom());
});

test('old loads of other gateways do not count', () => {
  assert.ok(!createRoom({others: 4}).hasRoom());
  assert.ok(createRoom({others: 4, isViewFresh: false}).hasRoom());
});

test('there is no room while requests wait at an endpoint', async () => {
  const {clock, room, hasRoom} = createRoom();
  const [endpoint] = ENDPOINTS;
  assert.ok(endpoint);
  const answer = (waiting: number) =>
    createAnswer(
      createCall('c', {}),
      {
        endpoint,
        customer: null,
        model: null,
        urgency: null,
        lastEventId: null,
        budgetMs: 1,
        mayReuseConnection: true,
        mayBegin: () => true,
        signal: new AbortController().signal,
      },
      {facts: {load: {running: 4, waiting, slots: 4}}},
    );
  room.record(endpoint, answer(2));
  assert.ok(!hasRoom());
  room.record(endpoint, answer(0));
  assert.ok(hasRoom());
  room.record(endpoint, answer(2));
  await clock.advance(500);
  assert.ok(hasRoom(), 'an old report still counts');
});

test.run();
