/**
 * The lives of the latest requests at this gateway, for `explain`.
 *
 * The history is bounded by a count; the oldest record makes room.
 */
import type {Bill} from '../../protocol/ledger.ts';
import type {RequestOutcome} from '../../protocol/completion.ts';
import type {RejectedVersion} from '../routing/completion_plan.ts';
import type {RejectedEndpoint} from '../routing/endpoint_router.ts';

/** How many requests are remembered. */
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
  /** The first chunk asked for, where the attempt resumed an answer. */
  readonly resumeOffset: number;
  endedMs?: number;
  firstTokenMs?: number;
  chunks: number;
  result?: string;
}

/** The life of one request. */
export interface RequestRecord {
  readonly requestId: string;
  readonly gateway: string;
  readonly customer: string;
  readonly kind: 'completion' | 'call';
  /** What the caller asked for: a model, or a service with its path. */
  readonly wanted: string;
  readonly session?: string;
  /** When it came, milliseconds since the Unix epoch. */
  readonly receivedAtMs: number;
  candidates: string[];
  reasons: readonly string[];
  rejected: readonly RejectedVersion[];
  readonly attempts: AttemptRecord[];
  /** Scores of answers that were rated before their release. */
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

/** Remembers requests. */
export class RequestHistory {
  private readonly records = new Map<string, RequestRecord>();

  constructor(private readonly capacity: number = DEFAULT_CAPACITY) {}

  get size(): number {
    return this.records.size;
  }

  /** Begins the record of a request. */
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

  /** The record of a request, while it is remembered. */
  explain(requestId: string): RequestRecord | undefined {
    return this.records.get(requestId);
  }

  private evictOldest(): void {
    const oldest = this.records.keys().next();
    if (!oldest.done) this.records.delete(oldest.value);
  }
}
