/** Reports a daemon's gauges at a fixed interval. */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import type {Clock} from '../../protocol/clock.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {RequestContext} from '../../coordination/requests/request_context.ts';

/** The interval between reports. */
const INTERVAL_MS = 10_000;

/** The sampling interval of the event loop delay. */
const LOOP_RESOLUTION_MS = 20;

const NANOSECONDS_PER_MS = 1_000_000;

export interface ReportGaugesOptions {
  readonly context: Pick<
    RequestContext,
    'getView' | 'listEndpoints' | 'settler'
  >;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

/** Starts periodic reports. Dispose of the result to stop them. */
export function startGauges(options: ReportGaugesOptions): AsyncDisposable {
  const {context, metrics, clock} = options;
  const stopped = new AbortController();
  const delay = monitorEventLoopDelay({resolution: LOOP_RESOLUTION_MS});
  delay.enable();
  const run = async () => {
    while (!stopped.signal.aborted) {
      await clock.sleep(INTERVAL_MS, stopped.signal);
      const view = context.getView();
      metrics.gauge('lease.held', view && !view.isolated ? 1 : 0);
      metrics.gauge('configuration.revision', view?.revision ?? 0);
      metrics.gauge('endpoints.known', context.listEndpoints().length);
      metrics.gauge('settlements.open', context.settler.openCount);
      metrics.gauge('process.rss_bytes', process.memoryUsage.rss());
      const p99 = delay.percentile(99) / NANOSECONDS_PER_MS;
      metrics.gauge('process.loop_delay_p99_ms', p99);
      delay.reset();
    }
  };
  const task = run();
  return {
    async [Symbol.asyncDispose]() {
      stopped.abort();
      delay.disable();
      await task;
    },
  };
}
