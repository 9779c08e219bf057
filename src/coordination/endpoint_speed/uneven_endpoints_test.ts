/**
 * Guards against work that waits at slow endpoints while fast ones have room. The
 * load: waves of requests to endpoints that differ in speed by factors of 0.6 to
 * 1.6, each 2.5 times slower for 600 ms now and then.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {Engine} from '../../protocol/route_table.ts';
import {createDraws} from '../../protocol/seeded_draws.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {Behaviour} from '../forwarding/forwarding_fakes.ts';
import {
  createEndpoint,
  createFollowReply,
  createRoute,
  FakeGateway,
} from '../forwarding/forwarding_fakes.ts';
import {createAnswer} from '../forwarding/fake_answers.ts';

const FACTORS = [0.6, 0.75, 0.9, 1, 1.3, 1.6];
const GATEWAYS = 3;
const SLOTS = 4;
const SLOWED_MS = 600;
const SLOWED_FACTOR = 2.5;
const WORK_MS = 100;
/** How often gateways learn of the load by others. */
const SHARE_MS = 300;
const ENGINE: Engine = {
  slots: 16,
  memoryTokens: 500_000,
  tokensPerEvent: 5,
  models: [],
};

interface Endpoint {
  readonly factor: number;
  running: number;
  waiting: Array<() => void>;
  slowedUntil: number;
}

interface PlayOptions {
  readonly seed: number;
  readonly reports: boolean;
  /** Whether all endpoints are alike; false by default. */
  readonly isEven?: boolean;
  readonly engine?: Engine;
}

/** Plays waves of requests; returns the mean and the 95th percentile in ms. */
async function play({seed, reports, isEven = false, engine}: PlayOptions) {
  const clock = new SimulatedClock();
  const {next, between} = createDraws(seed);
  // Engines prefill one prompt after the other.
  const slots = engine ? 1 : SLOTS;
  const states: readonly Endpoint[] = FACTORS.map(factor => ({
    factor: isEven ? 1 : factor,
    running: 0,
    waiting: [],
    slowedUntil: -Infinity,
  }));
  const behave: Behaviour = async (call, options) => {
    const state = states[Number(options.endpoint.id.slice(1))]!;
    if (state.running >= slots) {
      await new Promise<void>(resolve => state.waiting.push(resolve));
    }
    state.running++;
    const isSlowed = clock.monotonic() < state.slowedUntil;
    const percent = isSlowed ? 100 * SLOWED_FACTOR : 100;
    const ms = (0.8 + 0.4 * next()) * WORK_MS;
    await clock.sleep((ms * state.factor * percent) / 100);
    state.running--;
    state.waiting.shift()?.();
    const load = {
      running: state.running,
      waiting: state.waiting.length,
      slots,
      ...(reports ? {workPercent: percent} : {}),
    };
    return createAnswer(call, options, {facts: {load}});
  };
  const gateways = Array.from(
    {length: GATEWAYS},
    (_, index) =>
      new FakeGateway({
        route: createRoute({objectiveMs: 4_000, timeoutMs: 30_000}),
        endpoints: FACTORS.map((_factor, place) =>
          createEndpoint(`e${place}`, {slots: engine ? 16 : SLOTS}),
        ),
        clock,
        address: `g${index}`,
        random: next,
        behave,
        ...(engine ? {engine} : {}),
      }),
  );
  let sharedAt = 0;
  /** Tells each gateway the load by the others, as the core does. */
  const shareLoads = () => {
    if (clock.monotonic() < sharedAt + SHARE_MS) return;
    sharedAt = clock.monotonic();
    const reports = gateways.map(gateway => gateway.createReport().loads);
    for (const [index, {view}] of gateways.entries()) {
      const others = reports.filter((_, each) => each !== index).flat();
      const loads = FACTORS.map((_, place) => {
        const id = `e${place}`;
        const same = others.filter(load => load.id === id);
        return {id, open: same.reduce((sum, {open}) => sum + open, 0)};
      });
      view.apply(createFollowReply({complete: false, loads}));
    }
  };
  const times: number[] = [];
  const open: Array<Promise<void>> = [];
  // Waves of 0.4 to 1.2 times the mean take half of the capacity on average.
  const meanMs = WORK_MS / (slots * FACTORS.length * 0.55);
  for (let request = 0; request < 1_500; request++) {
    const begunAt = clock.monotonic();
    const gateway = gateways[between(0, GATEWAYS - 1)]!;
    const {done} = gateway.start({promptTokens: engine ? 2_000 : 0});
    open.push(done.then(() => void times.push(clock.monotonic() - begunAt)));
    const wave = 1 + 0.5 * Math.sin(begunAt / 2_000);
    await clock.advance((-Math.log(1 - next()) * meanMs) / wave);
    shareLoads();
    if (!isEven && next() < 0.01) {
      const state = states[between(0, states.length - 1)]!;
      state.slowedUntil = clock.monotonic() + SLOWED_MS;
    }
  }
  await clock.advance(30_000);
  await Promise.all(open);
  times.sort((a, b) => a - b);
  const mean = times.reduce((sum, ms) => sum + ms, 0) / times.length;
  return {mean, late: times[Math.floor(times.length * 0.95)]!};
}

for (const engine of [undefined, ENGINE]) {
  const kind = engine ? 'engines' : 'a plain service';
  test(`work ends sooner at uneven endpoints of ${kind} that report it`, async () => {
    for (let seed = 1; seed <= 2; seed++) {
      const options = {seed, ...(engine ? {engine} : {})};
      const without = await play({...options, reports: false});
      const reported = await play({...options, reports: true});
      assert.ok(reported.mean < without.mean * 0.95);
      assert.ok(reported.late < without.late * 0.9);
    }
  });
}

test('work ends as soon at even endpoints that report it', async () => {
  for (const engine of [undefined, ENGINE]) {
    const options = {seed: 1, isEven: true, ...(engine ? {engine} : {})};
    const without = await play({...options, reports: false});
    const reported = await play({...options, reports: true});
    const text = `${reported.mean}, without reports ${without.mean}`;
    assert.ok(reported.mean < without.mean * 1.05, text);
  }
});

test.run();
