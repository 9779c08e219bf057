/** Tests what is told of an attempt whose endpoint is silent. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import {fail} from '../../protocol/outcome.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {CallRun, type BlockReason} from './call_run.ts';
import {createCall} from './call_fakes.ts';
import {createEndpoint, createRoute} from './forwarding_fakes.ts';
import {watchSilence} from './silence_watch.ts';

// Guards against a line for each of the questions of a long silence.
test('watchSilence() logs a silence a few times at most', async () => {
  const clock = new SimulatedClock();
  const reasons: readonly BlockReason[] = ['budget', 'no-endpoint'];
  let asked = 0;
  let lines = 0;
  const run = new CallRun({
    call: createCall('c1', {}),
    route: createRoute(),
    service: {name: 'app', maxConnections: 100, engine: null},
    customer: null,
    caller: null,
    deadline: 25_000,
    isRepeatable: true,
  } as ConstructorParameters<typeof CallRun>[0]);
  using _watch = watchSilence(
    {
      clock,
      logger: {...silentLogger, info: () => void lines++},
      metrics: silentMetrics,
      // The other endpoint speaks now and then, and the budget is used up.
      handover: {reserve: () => fail(reasons[asked++ % 2] ?? 'budget')},
      quarantine: {
        admit: async () => ({type: 'refused', isCondemned: false}),
        endTrial: () => {},
      },
      sink: {hasBegun: true},
    },
    run,
    {endpoint: createEndpoint('e1'), timeoutMs: 1_200, giveUp: () => {}},
  );
  await clock.advance(20_000);
  assert.ok(asked > 100);
  assert.ok(lines <= 10, `${lines} lines`);
});

test.run();
