/** Guards against slowed hosts that the directory learns of late, or that flap. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger, type LogFields} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {HostWatch, TICK_MS} from './host_watch.ts';

function startWatch() {
  const clock = new SimulatedClock();
  const host = {
    clock,
    punctuality: 1,
    ticks: 0,
    isNeeded: true,
    isCounting: false,
    lines: [] as LogFields[],
    changes: [] as number[],
    /** Advances the clock with as many ticks as come. */
    advance: async (ms: number) => {
      for (let left = ms; left > 0; left -= TICK_MS) {
        host.ticks += host.punctuality;
        await clock.advance(TICK_MS);
      }
    },
  };
  const watch = new HostWatch({
    clock,
    logger: {
      ...silentLogger,
      info: (_message, fields = {}) => host.lines.push(fields),
    },
    metrics: silentMetrics,
    getLimits: () => ({cpuShare: 0.25, linkMbps: 10, memoryMib: 300}),
    isNeeded: () => host.isNeeded,
    ticks: {
      enable: () => void (host.isCounting = true),
      disable: () => void (host.isCounting = false),
      get count() {
        return host.ticks;
      },
    },
    readUsage: () => ({user: 0, system: 0}),
    readMemoryBytes: () => 80 * 1024 * 1024,
    countOpenRequests: () => 0,
    onChange: () => host.changes.push(clock.monotonic()),
  });
  watch.start();
  return {host, watch};
}

test('HostWatch reports its capacity, and no slowness in calm', async () => {
  const {host, watch} = startWatch();
  await host.advance(10_000);
  assert.deepEqual(watch.describe(), {capacity: 50});
  assert.deepEqual(host.changes, []);
});

test('HostWatch reports a host that is five times slower within 1.5 s', async () => {
  const {host, watch} = startWatch();
  await host.advance(5_000);
  host.punctuality = 0.2;
  await host.advance(1_500);
  assert.deepEqual(watch.describe(), {capacity: 50, slowness: 3});
  assert.equal(host.changes.length, 1);
  const [{level, before, cause} = {}] = host.lines;
  assert.deepEqual([level, before, cause], [3, 0, 'event-loop']);
  host.punctuality = 1;
  await host.advance(5_000);
  assert.deepEqual(watch.describe(), {capacity: 50});
  watch[Symbol.dispose]();
  host.punctuality = 0.2;
  await host.advance(5_000);
  assert.equal(host.changes.length, 2);
});

// Guards against work of deployments whose hosts are alike.
test('HostWatch counts no ticks while nobody weighs hosts', async () => {
  const {host, watch} = startWatch();
  host.isNeeded = false;
  host.punctuality = 0.2;
  await host.advance(10_000);
  assert.equal(host.isCounting, false);
  assert.deepEqual(watch.describe(), {capacity: 50});
  host.isNeeded = true;
  await host.advance(4_000);
  assert.equal(host.isCounting, true);
  assert.deepEqual(watch.describe(), {capacity: 50, slowness: 3});
});

test.run();
