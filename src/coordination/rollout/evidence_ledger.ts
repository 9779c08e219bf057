/**
 * The leader's collection of what gateways saw of each version.
 *
 * Reports carry counts since the gateway started, so one that arrives twice,
 * late or never does no harm, and a new leader has all of them again within
 * one reporting interval. To notice a version that turns bad late, the counts
 * are also looked at since a few earlier moments.
 */
import {
  RATING_BINS,
  type EvidenceReport,
  type VersionEvidence,
} from '../../protocol/rollout_state.ts';
import type {Clock} from '../../protocol/clock.ts';
import {MAX_RECENT_WINDOWS, type EvidenceCounts} from './evaluate_evidence.ts';

/** How far apart the moments are from which counts are looked at. */
const CHECKPOINT_INTERVAL_MS = 30_000;

interface Checkpoint {
  takenAt: number;
  totals: Map<string, EvidenceCounts>;
}

/** Returns counts of nothing. */
export function createCounts(): EvidenceCounts {
  return {
    ratings: new Array<number>(RATING_BINS).fill(0),
    requests: 0,
    errors: 0,
    slow: 0,
  };
}

/** Collects reports and gives totals over all gateways. */
export class EvidenceLedger {
  private readonly reports = new Map<string, EvidenceReport>();
  private checkpoints: Checkpoint[] = [];

  constructor(private readonly clock: Clock) {}

  /** Takes a report in; an older one of the same gateway changes nothing. */
  record(report: EvidenceReport): void {
    const id = `${report.gateway}/${report.incarnation}`;
    const known = this.reports.get(id);
    if (known && countRequests(known) > countRequests(report)) return;
    this.reports.set(id, report);
  }

  /** Forgets everything, as a daemon does that no longer leads. */
  clear(): void {
    this.reports.clear();
    this.checkpoints = [];
  }

  /** The totals of a version since this ledger began. */
  getTotal(version: string): EvidenceCounts {
    let total = createCounts();
    for (const report of this.reports.values()) {
      const found = report.versions.find(each => each.version === version);
      if (found) total = addCounts(total, found, 1);
    }
    return total;
  }

  /**
   * The totals of a version since each kept moment, the whole first.
   * Call it often: the moments are taken here.
   */
  listSpans(version: string): EvidenceCounts[] {
    this.recordCheckpoint();
    const total = this.getTotal(version);
    const windows = this.checkpoints.map(checkpoint =>
      addCounts(total, checkpoint.totals.get(version) ?? createCounts(), -1),
    );
    return [total, ...windows];
  }

  private recordCheckpoint(): void {
    const now = this.clock.monotonic();
    const last = this.checkpoints.at(-1)?.takenAt ?? -Infinity;
    if (now - last < CHECKPOINT_INTERVAL_MS) return;
    const names = [...this.reports.values()].flatMap(report =>
      report.versions.map(each => each.version),
    );
    const totals = new Map(
      [...new Set(names)].map(name => [name, this.getTotal(name)]),
    );
    this.checkpoints = [...this.checkpoints, {takenAt: now, totals}].slice(
      -MAX_RECENT_WINDOWS,
    );
  }
}

/** Adds `sign` times the second counts to the first. */
function addCounts(
  first: EvidenceCounts,
  second: EvidenceCounts | VersionEvidence,
  sign: 1 | -1,
): EvidenceCounts {
  return {
    ratings: first.ratings.map(
      (count, bin) => count + sign * (second.ratings[bin] ?? 0),
    ),
    requests: first.requests + sign * second.requests,
    errors: first.errors + sign * second.errors,
    slow: first.slow + sign * second.slow,
  };
}

function countRequests(report: EvidenceReport): number {
  return report.versions.reduce(
    (sum, {requests, ratings}) =>
      sum + requests + ratings.reduce((each, count) => each + count, 0),
    0,
  );
}
