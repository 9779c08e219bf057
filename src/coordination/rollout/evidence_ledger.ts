/**
 * The leader's collection of the gateways' evidence on each version.
 *
 * Reports carry cumulative counts since the gateway started, so duplicated,
 * reordered or lost reports do no harm, and a new leader rebuilds all counts
 * within one reporting interval. To detect a version that regresses late,
 * counts are also computed over the windows since recent checkpoints.
 */
import {
  RATING_BINS,
  type EvidenceReport,
  type VersionEvidence,
} from '../../protocol/rollout_state.ts';
import type {Clock} from '../../protocol/clock.ts';
import {MAX_RECENT_WINDOWS, type EvidenceCounts} from './evaluate_evidence.ts';

/** The least time between two checkpoints. */
const CHECKPOINT_INTERVAL_MS = 30_000;

interface Checkpoint {
  takenAt: number;
  totals: Map<string, EvidenceCounts>;
}

/** Returns counts that are all zero. */
export function createCounts(): EvidenceCounts {
  return {
    ratings: new Array<number>(RATING_BINS).fill(0),
    requests: 0,
    errors: 0,
    slow: 0,
  };
}

/** Collects the gateways' reports and computes totals over all of them. */
export class EvidenceLedger {
  private readonly reports = new Map<string, EvidenceReport>();
  private checkpoints: Checkpoint[] = [];

  constructor(private readonly clock: Clock) {}

  /** Stores a report unless a known one of that gateway has higher counts. */
  record(report: EvidenceReport): void {
    const id = `${report.gateway}/${report.incarnation}`;
    const known = this.reports.get(id);
    if (known && countRequests(known) > countRequests(report)) return;
    this.reports.set(id, report);
  }

  /** Removes all reports, for a daemon that is no longer the leader. */
  clear(): void {
    this.reports.clear();
    this.checkpoints = [];
  }

  /** Returns the totals of a version over all known reports. */
  getTotal(version: string): EvidenceCounts {
    let total = createCounts();
    for (const report of this.reports.values()) {
      const found = report.versions.find(each => each.version === version);
      if (found) total = addCounts(total, found, 1);
    }
    return total;
  }

  /**
   * Lists the totals of a version: all counts first, then those since each
   * checkpoint. Each call records a checkpoint if one is due, so it has to be
   * called regularly.
   */
  listWindows(version: string): EvidenceCounts[] {
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

/** Adds the second counts to the first, or subtracts them if `sign` is -1. */
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
