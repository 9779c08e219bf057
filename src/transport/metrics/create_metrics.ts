/**
 * Sends metrics to a StatsD sink over UDP through hot-shots.
 *
 * A sink that is gone costs nothing: datagrams are lost, errors are dropped.
 */
import {silentMetrics, type Metrics} from '../../protocol/metrics.ts';

/** Bytes of one datagram, which fits an Ethernet frame. */
const MAX_DATAGRAM_BYTES = 1_400;

/** How long values are gathered for one datagram. */
const FLUSH_INTERVAL_MS = 1_000;

/** The beginning of every metric's name. */
const PREFIX = 'parsleypond.';

export interface CreateMetricsOptions {
  /** The IP number and port of the sink; none by default. */
  readonly statsd?: string;
  /** The name of this daemon, a tag of every metric. */
  readonly host: string;
}

/** Creates the metrics of one process. Dispose them to send the rest. */
export async function createMetrics(
  options: CreateMetricsOptions,
): Promise<Metrics & AsyncDisposable> {
  const {statsd, host} = options;
  if (statsd === undefined) {
    return {...silentMetrics, [Symbol.asyncDispose]: async () => {}};
  }
  // Loaded only where it is used, since it takes memory.
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
    gauge: (name, value, tags) => client.gauge(name, value, tags),
    record: (name, value, tags) => client.distribution(name, value, tags),
    [Symbol.asyncDispose]: () =>
      new Promise(resolve => client.close(() => resolve())),
  };
}
