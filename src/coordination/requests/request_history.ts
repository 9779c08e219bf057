/**
 * Records of the latest requests at this gateway, for `explain`.
 *
 * The number of records is bounded; the oldest one is evicted.
 */
import type {Bill} from '../../protocol/ledger.ts';
import type {RequestOutcome} from '../../protocol/completion.ts';
import type {RejectedVersion} from '../routing/completion_plan.ts';
import type {RejectedEndpoint} from '../routing/endpoint_router.ts';

const DEFAULT_CAPACITY = 2_000;

/** One attempt at an endpoint. */
export interface AttemptRecord {
  readonly attemptId: string;
  /** The version as `model/version`; absent for a plain service. */
  readonly version?: string;
  readonly endpoint: string;
  readonly reason: string;
  readonly rejected: readonly RejectedEndpoint[];
  /** Whether the endpoint is in another region. */
  readonly remote: boolean;
  /** Milliseconds from the start of the request. */
  readonly startedMs: number;
  /** The first requested chunk; above 0 if the attempt resumed an answer. */
  readonly resumeOffset: number;
  endedMs?: number;
  firstTokenMs?: number;
  chunks: number;
  result?: string;
}

/** How one request was handled. */
export interface RequestRecord {
  readonly requestId: string;
  readonly gateway: string;
  readonly customer: string;
  readonly kind: 'completion' | 'call';
  /** The requested model, or the requested method, service and path. */
  readonly wanted: string;
  readonly session?: string;
  /** The time of arrival, in milliseconds since the Unix epoch. */
  readonly receivedAtMs: number;
  candidates: string[];
  reasons: readonly string[];
  rejected: readonly RejectedVersion[];
  readonly attempts: AttemptRecord[];
  /** The ratings of held answers, with `null` for a missing score. */
  readonly ratings: Array<{
    readonly version: string;
    readonly score: number | null;
    readonly released: boolean;
  }>;
  queuedMs: number;
  outcome: RequestOutcome | 'running';
  error?: string;
  bill?: Bill;
  durationMs?: number;
}

/** A bounded history of requests. */
export class RequestHistory {
  private readonly records = new Map<string, RequestRecord>();

  constructor(private readonly capacity: number = DEFAULT_CAPACITY) {}

  get size(): number {
    return this.records.size;
  }

  /** Creates and stores the record of a new request. */
  begin(
    start: Pick<
      RequestRecord,
      | 'requestId'
      | 'gateway'
      | 'customer'
      | 'kind'
      | 'wanted'
      | 'session'
      | 'receivedAtMs'
    >,
  ): RequestRecord {
    const record: RequestRecord = {
      ...start,
      candidates: [],
      reasons: [],
      rejected: [],
      attempts: [],
      ratings: [],
      queuedMs: 0,
      outcome: 'running',
    };
    this.records.set(record.requestId, record);
    if (this.records.size > this.capacity) this.evictOldest();
    return record;
  }

  /** Returns the record of a request unless it was evicted. */
  explain(requestId: string): RequestRecord | undefined {
    return this.records.get(requestId);
  }

  private evictOldest(): void {
    const oldest = this.records.keys().next();
    if (!oldest.done) this.records.delete(oldest.value);
  }
}
