/** The metrics interface. No call blocks or throws. */

/** Labels of a metric. Each must have a low cardinality. */
export type MetricTags = Readonly<Record<string, string>>;

/** Receives the measurements of one process. */
export interface Metrics {
  /** Increments a counter, by 1 unless `value` is given. */
  count(name: string, value?: number, tags?: MetricTags): void;
  /** Sets a gauge; `NaN` withdraws it until it is set again. */
  gauge(name: string, value: number, tags?: MetricTags): void;
  /** Records one observation of a distribution, such as a duration in ms. */
  record(name: string, value: number, tags?: MetricTags): void;
}

/** Metrics that discard all measurements. */
export const silentMetrics: Metrics = {
  count: () => {},
  gauge: () => {},
  record: () => {},
};
