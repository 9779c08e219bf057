/**
 * Keeps counters and histograms in the process and writes them as text, in the
 * format that Prometheus reads.
 *
 * Names get the prefix `parsleypond_`. A metric keeps the tags that it was
 * first used with; tags have few values each.
 */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {Metrics, MetricTags} from '../../protocol/metrics.ts';

const PREFIX = 'parsleypond_';

/** Upper bounds of latency histograms, in ms: from a cached answer to a day's
 * longest stream. */
const LATENCY_BUCKETS_MS = [
  5, 10, 25, 50, 100, 200, 300, 450, 700, 1_000, 1_500, 2_000, 3_000, 5_000,
  10_000, 30_000,
];

/** Metrics that can be read as text. */
export interface TextMetrics extends Metrics {
  /** Writes all metrics. */
  formatText(): Promise<string>;
}

/** Creates metrics without any value. */
export function createTextMetrics(): TextMetrics {
  const registry = new Registry();
  const counters = new Map<string, Counter>();
  const gauges = new Map<string, Gauge>();
  const histograms = new Map<string, Histogram>();
  const describe = (name: string, tags: MetricTags) => ({
    name: PREFIX + name,
    help: name.replaceAll('_', ' '),
    labelNames: Object.keys(tags),
    registers: [registry],
  });
  return {
    count(name, value = 1, tags = {}) {
      const counter = findOrAdd(counters, name, () => {
        return new Counter(describe(name, tags));
      });
      counter.inc(tags, value);
    },
    gauge(name, value, tags = {}) {
      const gauge = findOrAdd(gauges, name, () => {
        return new Gauge(describe(name, tags));
      });
      gauge.set(tags, value);
    },
    record(name, value, tags = {}) {
      const histogram = findOrAdd(histograms, name, () => {
        const buckets = LATENCY_BUCKETS_MS;
        return new Histogram({...describe(name, tags), buckets});
      });
      histogram.observe(tags, value);
    },
    formatText: () => registry.metrics(),
  };
}

function findOrAdd<T>(known: Map<string, T>, name: string, create: () => T): T {
  const found = known.get(name) ?? create();
  known.set(name, found);
  return found;
}
