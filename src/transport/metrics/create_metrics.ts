/**
 * Sends metrics to a StatsD sink over UDP through hot-shots.
 *
 * An unreachable sink has no effect on the process: datagrams are lost and
 * errors are ignored.
 */
import {silentMetrics, type Metrics} from '../../protocol/metrics.ts';

/** Maximum size of a datagram, so that it fits an Ethernet frame. */
const MAX_DATAGRAM_BYTES = 1_400;

/** How long values are buffered before a datagram is sent. */
const FLUSH_INTERVAL_MS = 1_000;

/** Prefix of every metric name. */
const PREFIX = 'parsleypond.';

export interface CreateMetricsOptions {
  /** IP address and port of the sink; metrics are off by default. */
  readonly statsd?: string;
  /** Name of this daemon, sent as a tag of every metric. */
  readonly host: string;
}

/** Creates the metrics of a process. Dispose them to flush the buffer. */
export async function createMetrics(
  options: CreateMetricsOptions,
): Promise<Metrics & AsyncDisposable> {
  const {statsd, host} = options;
  if (statsd === undefined) {
    return {...silentMetrics, [Symbol.asyncDispose]: async () => {}};
  }
  // Loaded only when needed, to save memory.
  const {StatsD} = await import('hot-shots');
  const colon = statsd.lastIndexOf(':');
  const client = new StatsD({
    host: statsd.slice(0, colon),
    port: Number(statsd.slice(colon + 1)),
    prefix: PREFIX,
    globalTags: {daemon: host},
    maxBufferSize: MAX_DATAGRAM_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    errorHandler: () => {},
  });
  return {
    count: (name, value = 1, tags) => client.increment(name, value, tags),
    gauge: (name, value, tags) => {
      if (!Number.isNaN(value)) client.gauge(name, value, tags);
    },
    record: (name, value, tags) => client.distribution(name, value, tags),
    [Symbol.asyncDispose]: () =>
      new Promise(resolve => client.close(() => resolve())),
  };
}
