/** Counts a gateway's requests, failures and ratings per version. */
import {
  RATING_BINS,
  type DemandReport,
  type EvidenceReport,
  type VersionEvidence,
} from '../../protocol/rollout_state.ts';
import {createCounts} from './evidence_ledger.ts';

/** The result of one request, as far as its version caused it. */
export interface ServedRequest {
  /** The version as `model/version`. */
  readonly version: string;
  readonly failed: boolean;
  /** Whether the first token arrived later than the customer's target. */
  readonly slow: boolean;
}

type MutableEvidence = {
  -readonly [K in keyof VersionEvidence]: VersionEvidence[K];
};

/** Cumulative counts since the gateway started. */
export class EvidenceCollector {
  private readonly versions = new Map<string, MutableEvidence>();
  private readonly busyMs = new Map<string, number>();
  private changes = 0;

  constructor(
    private readonly gateway: string,
    private readonly incarnation: string,
  ) {}

  /** Increases with each count, so that unchanged counts need not be sent. */
  get revision(): number {
    return this.changes;
  }

  /** Counts one request that the version answered or failed. */
  countRequest(served: ServedRequest): void {
    const evidence = this.getEvidence(served.version);
    evidence.requests++;
    if (served.failed) evidence.errors++;
    if (served.slow) evidence.slow++;
    this.changes++;
  }

  /** Adds the time that a request ran on a version or waited without a slot. */
  countBusy(version: string, busyMs: number): void {
    this.busyMs.set(version, (this.busyMs.get(version) ?? 0) + busyMs);
  }

  /** Reports the cumulative busy times since the gateway started. */
  createDemandReport(): DemandReport {
    return [...this.busyMs].map(([version, busyMs]) => ({
      version,
      busyMs: Math.round(busyMs),
    }));
  }

  /** Counts a rating from 0 to 1; the version is `model/version`. */
  countRating(version: string, rating: number): void {
    const bin = Math.min(RATING_BINS - 1, Math.floor(rating * RATING_BINS));
    const {ratings} = this.getEvidence(version);
    ratings[bin] = (ratings[bin] ?? 0) + 1;
    this.changes++;
  }

  /** Reports the counts of `versions`. */
  createReport(versions: ReadonlySet<string>): EvidenceReport {
    const counted = [...this.versions.values()].filter(each =>
      versions.has(each.version),
    );
    return {
      gateway: this.gateway,
      incarnation: this.incarnation,
      versions: structuredClone(counted),
    };
  }

  private getEvidence(version: string): MutableEvidence {
    const known = this.versions.get(version);
    if (known) return known;
    const evidence = {version, ...createCounts()};
    this.versions.set(version, evidence);
    return evidence;
  }
}
