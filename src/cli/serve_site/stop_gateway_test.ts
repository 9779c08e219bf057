import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {stopGateway, type StopGatewayOptions} from './stop_gateway.ts';

const GRACE_MS = 8_000;

/** Stops a gateway; returns when each step was taken, in ms. */
async function recordStop({
  report = async () => {},
  getOpenRequests = () => 0,
  graceMs = GRACE_MS,
}: {
  report?: (clock: SimulatedClock) => Promise<void>;
  getOpenRequests?: (ms: number) => number;
  graceMs?: number;
} = {}): Promise<Record<string, number>> {
  const clock = new SimulatedClock();
  const startedAt = clock.monotonic();
  const measureMs = () => clock.monotonic() - startedAt;
  const steps: Record<string, number> = {};
  const record = (step: string) => () => void (steps[step] = measureMs());
  const options: StopGatewayOptions = {
    clock,
    graceMs,
    server: {
      startClosing: record('startClosing'),
      closeIdleConnections: record('closeIdleConnections'),
      get openRequests() {
        return getOpenRequests(measureMs());
      },
    },
    forwarder: {
      shutdown: {
        begin: endsAt => void (steps['endsAt'] = endsAt - startedAt),
        abort: record('abort'),
      },
      startRefusing: record('startRefusing'),
    },
    report: () => report(clock),
  };
  let isStopped = false;
  const stopped = stopGateway(options).then(() => {
    isStopped = true;
    record('stopped')();
  });
  for (let ms = 0; ms < 2 * GRACE_MS && !isStopped; ms += 10) {
    await clock.advance(10);
  }
  await stopped;
  return steps;
}

test('stopGateway() ends what is open before the grace period ends', async () => {
  const steps = await recordStop({getOpenRequests: () => 1});
  assert.equal(steps['endsAt'], 7_300);
  assert.ok((steps['abort'] ?? Infinity) <= 7_400);
});

test('stopGateway() stops soon after callers no longer use their lists', async () => {
  const steps = await recordStop({
    getOpenRequests: ms => (ms < 4_000 ? 1 : 0),
  });
  assert.equal(steps['startRefusing'], 2_700);
  const abortedMs = steps['abort'] ?? 0;
  assert.ok(abortedMs >= 4_000 && abortedMs < 4_200, `${abortedMs}`);
});

// Guards against requests that arrive while the last answers are written, and are
// neither read nor refused because the connections are closed in that moment.
test('stopGateway() waits until the last answers are sent, for a bounded time', async () => {
  for (const sentMs of [7_380, Infinity]) {
    const steps = await recordStop({
      getOpenRequests: ms => (ms < sentMs ? 1 : 0),
    });
    const stoppedMs = steps['stopped'] ?? 0;
    assert.ok(stoppedMs >= Math.min(sentMs, 7_450), `${stoppedMs}`);
    assert.ok(stoppedMs <= 7_500, `${stoppedMs}`);
  }
});

// Guards against requests that arrive late in the grace period and are passed on,
// because a core daemon does not answer the gateway's last report in time.
test('stopGateway() does not refuse later when its report is not answered', async () => {
  const steps = await recordStop({
    report: async clock => clock.sleep(5_000),
    getOpenRequests: () => 1,
  });
  assert.equal(steps['startRefusing'], 2_700);
  assert.ok((steps['abort'] ?? Infinity) <= 7_400);
});

test('stopGateway() ends in time with a grace period below the age of lists', async () => {
  const steps = await recordStop({getOpenRequests: () => 1, graceMs: 2_000});
  assert.ok((steps['startRefusing'] ?? Infinity) <= 1_400);
  assert.ok((steps['abort'] ?? Infinity) <= 1_400);
});

test.run();
