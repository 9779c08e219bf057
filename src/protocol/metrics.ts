/** What every part of the system counts through. No call waits or throws. */

/** Names and values that split a metric; few values each. */
export type MetricTags = Readonly<Record<string, string>>;

/** Takes measurements of one process. */
export interface Metrics {
  /** Adds to a counter, 1 by default. */
  count(name: string, value?: number, tags?: MetricTags): void;
  /** Sets a value that goes up and down. */
  gauge(name: string, value: number, tags?: MetricTags): void;
  /** Notes one value of a distribution, such as milliseconds. */
  record(name: string, value: number, tags?: MetricTags): void;
}

/** Metrics that go nowhere. */
export const silentMetrics: Metrics = {
  count: () => {},
  gauge: () => {},
  record: () => {},
};
