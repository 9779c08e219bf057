import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {Clock} from '../../protocol/clock.ts';
import type {ControlView} from '../../protocol/control.ts';
import {declarationSchema} from '../../protocol/declaration.ts';
import {announcementSchema} from '../../protocol/endpoint.ts';
import {silentLogger} from '../../protocol/logger.ts';
import type {Order, OrderReply} from '../../protocol/order.ts';
import type {Endpoint} from '../membership/endpoint_table.ts';
import {DemandTable} from './demand_table.ts';
import {ORDER_TIMEOUT_MS, PlacementController} from './placement_controller.ts';

const declaration = declarationSchema.parse({
  version: 1,
  pools: [{name: 'p'}],
  versions: [
    {
      model: 'm',
      name: 'a',
      pool: 'p',
      prompt_price: 1,
      completion_price: 1,
      expected_quality: 0.9,
    },
  ],
});

const view: ControlView = {
  revision: 1,
  declaration,
  withdrawals: [],
  rollouts: [],
  draining: [],
};

function createFixture() {
  const state = {now: 0, leader: true, since: 0, fencing: 0};
  const clock: Clock = {
    now: () => state.now,
    monotonic: () => state.now,
    sleep: () => Promise.resolve(),
  };
  const endpoint: Endpoint = {
    ...announcementSchema.parse({
      name: 'e1',
      incarnation: 'i',
      address: '127.0.0.1:1',
      region: 'r',
      dataCentre: 'd',
      pool: 'p',
      versionSlots: 1,
    }),
    inFlight: 0,
    loadTakenAt: 0,
  };
  const sent: Order[] = [];
  const replies: Array<OrderReply | Error> = [];
  const controller = new PlacementController({
    clock,
    logger: silentLogger,
    demand: new DemandTable(clock),
    isLeader: () => state.leader,
    getLeaderSince: () => state.since,
    getView: () => view,
    listEndpoints: () => [endpoint],
    takeFencing: async () => ++state.fencing,
    sendOrder: async (_address, order) => {
      sent.push(order);
      const reply = replies.shift() ?? {type: 'accepted', message: ''};
      if (reply instanceof Error) throw reply;
      return reply as OrderReply;
    },
  });
  return {state, endpoint, sent, replies, controller};
}

test('a new leader waits until old orders have expired', async () => {
  const {state, sent, controller} = createFixture();
  state.now = ORDER_TIMEOUT_MS;
  await controller.step();
  assert.is(sent.length, 0);
  state.now = 60_000;
  await controller.step();
  assert.is(sent.length, 1);
});

test('an order of unknown outcome is not repeated prematurely', async () => {
  const {state, endpoint, sent, replies, controller} = createFixture();
  replies.push(new Error('no answer'));
  state.now = 60_000;
  await controller.step();
  await controller.step();
  assert.is(sent.length, 1);
  endpoint.versions = ['m/a'];
  await controller.step();
  endpoint.versions = [];
  await controller.step();
  assert.is(sent.length, 2);
});

test('each new leader takes a larger fencing number', async () => {
  const {state, endpoint, sent, controller} = createFixture();
  state.now = 60_000;
  await controller.step();
  state.leader = false;
  await controller.step();
  Object.assign(state, {leader: true, since: 70_000, now: 130_000});
  endpoint.versions = [];
  await controller.step();
  assert.ok((sent[1]?.fencing ?? 0) > (sent[0]?.fencing ?? 0));
});

test.run();
