/** Computes the metrics of one run. */
import {build} from 'hdr-histogram-js';
import type {Profile} from './workload.ts';

/** The result of one request. */
export interface RequestRecord {
  readonly customer: number;
  readonly classIndex: number;
  readonly streamed: boolean;
  readonly outcome: 'answered' | 'refused' | 'failed';
  /** Set if the request was answered. */
  readonly quality?: number;
  readonly version?: string;
  readonly firstTokenMs?: number;
  readonly cost: number;
  readonly atMs: number;
}

/** The metrics of one run. */
export interface RunMetrics {
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  readonly failed: number;
  /** Mean cost of an answered request in micro-units. */
  readonly cost: number;
  /** Mean quality minus the target, lowest over the request classes. */
  readonly margin: number;
  /** Share of answers whose own quality is below the target. */
  readonly belowTargetShare: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  /** Bad answers of a faulty version that reached callers. */
  readonly exposed: number;
  /** Jain's index of the customers' served shares of their fair shares. */
  readonly fairness: number;
  /** Served share of the fair share of the smallest customer. */
  readonly smallestShare: number;
  readonly slowLinkBytes: number;
  /** Answered requests per second; admission takes 10 s at most. */
  readonly goodput: number;
  /** Requests that engines finished per second. */
  readonly finished: number;
}

export interface MeasureRunOptions {
  readonly profile: Profile;
  readonly records: readonly RequestRecord[];
  readonly exposed: number;
  readonly slowLinkBytes: number;
  readonly durationMs: number;
  readonly finished: number;
}

export function measureRun(options: MeasureRunOptions): RunMetrics {
  const {profile, records, durationMs} = options;
  const answered = records.filter(each => each.outcome === 'answered');
  const histogram = build({highestTrackableValue: 3_600_000});
  for (const {firstTokenMs} of answered) {
    if (firstTokenMs !== undefined) {
      histogram.recordValue(Math.max(1, Math.round(firstTokenMs)));
    }
  }
  const shares = listFairShareRatios(records);
  const seconds = durationMs / 1_000;
  return {
    requests: records.length,
    answered: answered.length,
    refused: records.filter(each => each.outcome === 'refused').length,
    failed: records.filter(each => each.outcome === 'failed').length,
    cost: computeMean(answered.map(each => each.cost)),
    margin: Math.min(
      ...profile.classes.map(
        ({target}, index) =>
          computeMean(
            answered
              .filter(each => each.classIndex === index)
              .map(each => each.quality ?? 0),
          ) - target,
      ),
    ),
    belowTargetShare: computeMean(
      answered.map(each =>
        (each.quality ?? 0) < profile.classes[each.classIndex]!.target ? 1 : 0,
      ),
    ),
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
    exposed: options.exposed,
    fairness:
      shares.reduce((a, b) => a + b, 0) ** 2 /
      (shares.length * shares.reduce((a, b) => a + b * b, 0)),
    smallestShare: shares[0] ?? 1,
    slowLinkBytes: options.slowLinkBytes,
    goodput: answered.length / seconds,
    finished: options.finished / seconds,
  };
}

/**
 * Lists each customer's answers relative to its fair share, smallest customer
 * first. Fair shares divide all answers by max-min fairness with equal
 * weights.
 */
function listFairShareRatios(records: readonly RequestRecord[]): number[] {
  const sent = new Map<number, number>();
  const served = new Map<number, number>();
  for (const {customer, outcome} of records) {
    sent.set(customer, (sent.get(customer) ?? 0) + 1);
    if (outcome !== 'answered') continue;
    served.set(customer, (served.get(customer) ?? 0) + 1);
  }
  let remaining = [...served.values()].reduce((a, b) => a + b, 0);
  const bySize = [...sent].sort((a, b) => a[1] - b[1]);
  return bySize.map(([customer, count], index) => {
    const fair = Math.min(count, remaining / (bySize.length - index));
    remaining -= fair;
    return (served.get(customer) ?? 0) / fair;
  });
}

function computeMean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((a, b) => a + b, 0) / values.length;
}
