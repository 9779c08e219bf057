/**
 * While processes fail, answers stay complete, calls that may not be repeated
 * run at most once, and outcomes are reported correctly.
 */
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {CallRecord} from '../records/call_record.ts';
import {createSmallTopology} from '../system/topology.ts';
import {Scenario} from '../system/scenario.ts';
import {waitFor} from '../system/system.ts';

const network = {callerMs: 1};

/**
 * The timeout of callers for the headers of a reply while a gateway is
 * suspended. Such a gateway accepts connections but never replies, so each
 * caller that picks it waits this long.
 */
const SUSPENDED_HEADERS_TIMEOUT_MS = 5_000;

let scenario: Scenario;

test.before(async () => {
  scenario = await Scenario.start({...createSmallTopology(), network});
});

test.after(async () => {
  await scenario[Symbol.asyncDispose]();
});

/** Starts a host again and waits until it is ready. */
async function restart(host: string): Promise<void> {
  scenario.system.daemons.get(host)?.start();
  await scenario.system.waitForHost(host);
}

test('without faults every first attempt is answered', async () => {
  {
    await using _load = scenario.startLoad(1, {maxAttempts: 1});
    await scenario.waitForAnswers(60);
  }
  const outcomes = scenario.countOutcomes();
  assert.equal(Object.keys(outcomes), ['answered'], JSON.stringify(outcomes));
  assert.equal(await scenario.check('a1'), []);
});

test('the leader is killed under load and all checks pass', async () => {
  const leader = await scenario.system.findLeader();
  {
    await using _load = scenario.startLoad(2);
    await scenario.waitForAnswers(20);
    await scenario.system.daemons.get(leader)?.kill();
    await scenario.waitForAnswers(40);
    await restart(leader);
    await scenario.waitForAnswers(20);
  }
  assert.equal(await scenario.check('a1'), []);
});

test('a gateway is killed under load and all checks pass', async () => {
  {
    await using _load = scenario.startLoad(3);
    await scenario.waitForAnswers(20);
    await scenario.system.daemons.get('a4')?.kill();
    await scenario.waitForAnswers(40);
    await restart('a4');
  }
  assert.equal(await scenario.check('a1'), []);
});

test('an engine and a service die under load and all checks pass', async () => {
  const {endpoints} = scenario.system;
  {
    await using _load = scenario.startLoad(4);
    await scenario.waitForAnswers(20);
    await endpoints.get('e1')?.kill();
    await endpoints.get('s1')?.kill();
    await scenario.waitForAnswers(40);
    endpoints.get('e1')?.start();
    endpoints.get('s1')?.start();
  }
  assert.equal(await scenario.check('a1'), []);
  await scenario.waitForEndpoints(5);
});

test('a graceful shutdown under load aborts no request', async () => {
  {
    await using _load = scenario.startLoad(5);
    await scenario.waitForAnswers(20);
    for (const host of ['a4', await scenario.system.findLeader()]) {
      assert.is(await scenario.stopDaemon(host), 0);
      await restart(host);
    }
    await scenario.waitForAnswers(20);
  }
  assert.equal(await scenario.check('a1'), []);
});

test('requests survive endpoint connections that drop all bytes', async () => {
  const {proxy} = scenario.system;
  {
    await using _load = scenario.startLoad(6);
    await scenario.waitForAnswers(20);
    const count = proxy.silence((_from, to) => /^[es]\d/.test(to));
    assert.ok(count > 0);
    await scenario.waitForAnswers(40);
  }
  assert.equal(await scenario.check('a1'), []);
});

test('requests survive peer connections that drop all bytes', async () => {
  const {proxy} = scenario.system;
  {
    await using _load = scenario.startLoad(7);
    await scenario.waitForAnswers(20);
    const daemon = /^a\d/;
    const count = proxy.silence((a, b) => daemon.test(a) && daemon.test(b));
    assert.ok(count > 0);
    await scenario.waitForAnswers(40);
  }
  assert.equal(await scenario.check('a1'), []);
});

test('a leader resumed after SIGSTOP ignores its expired lease', async () => {
  const leader = await scenario.system.findLeader();
  const daemon = scenario.system.daemons.get(leader);
  {
    await using _load = scenario.startLoad(8, {
      headersTimeoutMs: SUSPENDED_HEADERS_TIMEOUT_MS,
    });
    await scenario.waitForAnswers(20);
    {
      using _suspended = daemon?.suspend();
      await scenario.waitForAnswers(60);
    }
    await scenario.waitForAnswers(20);
  }
  assert.equal(await scenario.check('a1'), []);
});

test('a draining engine gets no new runs while sessions use it', async () => {
  const engine = scenario.system.endpoints.get('e2');
  {
    await using _load = scenario.startLoad(9);
    await scenario.waitForAnswers(20);
    const atMs = Date.now();
    await engine?.stop();
    scenario.drains.push({name: 'e2', atMs, untilMs: Date.now()});
    await scenario.waitForAnswers(20);
    engine?.start();
  }
  assert.equal(await scenario.check('a1'), []);
  await scenario.waitForEndpoints(5);
});

/** Sends a booking and kills the service endpoint that runs it. */
async function bookWhileServiceDies(): Promise<CallRecord> {
  const {system} = scenario;
  await system.hold('s1', 'dispatched');
  await system.hold('s2', 'dispatched');
  await using caller = scenario.createCaller();
  const request = {
    key: `held-${scenario.calls.length}`,
    content: '{"door":"jammed"}',
    service: 'booking/bookings',
  };
  const first = caller.sendOnce(request);
  let holder = '';
  await waitFor('the call is held', async () => {
    for (const name of ['s1', 's2']) {
      if ((await system.countHeld(name)) > 0) holder = name;
    }
    return holder !== '';
  });
  await system.endpoints.get(holder)?.kill();
  const other = holder === 's1' ? 's2' : 's1';
  await system.hold(other, null);
  const record = await first;
  const retry = await caller.sendOnce(request);
  assert.is(retry.outcome, 'unknown');
  system.endpoints.get(holder)?.start();
  await scenario.waitForEndpoints(5);
  return record;
}

test('a booking whose service dies is unknown and never rerun', async () => {
  const record = await bookWhileServiceDies();
  assert.is(record.outcome, 'unknown');
  assert.equal(await scenario.check('a1'), []);
});

test.run();
