/**
 * Keeps metrics in memory and exports them in Prometheus' text format.
 *
 * Names get the prefix `parsleypond_`. The label names of a metric are fixed
 * by its first use; keep the number of values of each tag small.
 */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {Metrics, MetricTags} from '../../protocol/metrics.ts';

const PREFIX = 'parsleypond_';

/**
 * Upper bounds of latency histograms, from a cached answer to the longest
 * stream of a day.
 */
const LATENCY_BUCKETS_MS = [
  5, 10, 25, 50, 100, 200, 300, 450, 700, 1_000, 1_500, 2_000, 3_000, 5_000,
  10_000, 30_000,
];

/** Metrics that can be exported as text. */
export interface TextMetrics extends Metrics {
  /** Formats all metrics in Prometheus' text format. */
  formatText(): Promise<string>;
}

/** Creates an empty set of metrics. */
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
      if (Number.isNaN(value)) gauge.remove(tags);
      else gauge.set(tags, value);
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
