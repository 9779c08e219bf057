/**
 * Claims: which idempotency keys were admitted, and how their requests ended.
 *
 * Open and settled claims are separate, and settled ones are in the order of
 * their settlement, so expiring them visits only those it removes. If the
 * caller sent no key, the claim's key is the request id, which no retry can
 * repeat; such claims are brief: they are retained for a short time only.
 */
import type {LedgerStatus, StoredAnswer} from '../../protocol/ledger.ts';

/** The limit of all stored answers; the oldest are evicted first. */
export const TOTAL_ANSWERS_LIMIT_BYTES = 32 * 1024 * 1024;

/** A larger answer is not stored; a retry then gets outcome `unknown`. */
export const ANSWER_LIMIT_BYTES = 256 * 1024;

/** How long a claim without a caller's key is retained once settled. */
export const BRIEF_RETENTION_MS = 60_000;

/** An admitted idempotency key. */
export interface Claim {
  requestId: string;
  digest: string;
  repeatable: boolean;
  /** The process that runs the request, as `name/incarnation`. */
  gateway: string;
  status: LedgerStatus;
  atMs: number;
  billed: boolean;
  /** True if a sweep abandoned the claim; its gateway may still settle it. */
  swept?: boolean;
  answer?: StoredAnswer;
}

/**
 * The claims of a snapshot, as JSON bytes of `[id, claim]` pairs. A snapshot
 * is encoded synchronously, and `JSON.stringify` is several times faster than
 * the log's MessagePack codec.
 */
export interface ClaimsSnapshot {
  open: Uint8Array;
  settled: Uint8Array;
  brief: Uint8Array;
}

/** What a sweep abandons and removes. */
export interface ClaimSweep {
  readonly lostGateways: ReadonlySet<string>;
  /** Open claims from before this time are abandoned. */
  readonly openBeforeMs: number;
  /** Claims settled before this time are removed. */
  readonly settledBeforeMs: number;
  readonly atMs: number;
  /** The most settled claims to remove, and likewise the most brief ones. */
  readonly limit: number;
}

/** The claims of one ledger shard. */
export class Claims {
  private readonly open = new Map<string, Claim>();
  private readonly settled = new Map<string, Claim>();
  private readonly brief = new Map<string, Claim>();
  /** Claims with a stored answer, oldest first. */
  private readonly answered = new Map<string, Claim>();
  private storedBytes = 0;

  get openCount(): number {
    return this.open.size;
  }

  get settledCount(): number {
    return this.settled.size + this.brief.size;
  }

  /** The total size of the stored answers. */
  get answerBytes(): number {
    return this.storedBytes;
  }

  get(id: string): Claim | undefined {
    return this.open.get(id) ?? this.settled.get(id) ?? this.brief.get(id);
  }

  /** Opens a claim, and replaces an earlier one with the same id. */
  start(id: string, claim: Claim): void {
    this.remove(id);
    this.open.set(id, claim);
  }

  /** Settles a claim. `brief` claims have a short retention. */
  end(id: string, claim: Claim, brief: boolean): void {
    const {answer} = claim;
    this.remove(id);
    claim.answer = undefined;
    (brief ? this.brief : this.settled).set(id, claim);
    if (answer && measureAnswer(answer) <= ANSWER_LIMIT_BYTES) {
      claim.answer = answer;
      this.answered.set(id, claim);
      this.storedBytes += measureAnswer(answer);
      this.evictAnswers();
    }
  }

  /** Removes a claim and its stored answer. */
  remove(id: string): void {
    const answered = this.answered.get(id);
    if (answered) this.dropAnswer(id, answered);
    this.open.delete(id);
    this.settled.delete(id);
    this.brief.delete(id);
  }

  /** Returns the processes that have open claims. */
  listOpenGateways(): Set<string> {
    return new Set([...this.open.values()].map(claim => claim.gateway));
  }

  /** Abandons open claims that are overdue or lost; removes expired ones. */
  sweep(sweep: ClaimSweep): number {
    let count = 0;
    for (const [id, claim] of this.open) {
      const lost = sweep.lostGateways.has(claim.gateway);
      if (!lost && claim.atMs >= sweep.openBeforeMs) continue;
      claim.status = 'unknown';
      claim.swept = true;
      claim.atMs = sweep.atMs;
      this.end(id, claim, false);
      count++;
    }
    const briefBeforeMs = sweep.atMs - BRIEF_RETENTION_MS;
    count += this.removeBefore(this.brief, briefBeforeMs, sweep.limit);
    count += this.removeBefore(
      this.settled,
      sweep.settledBeforeMs,
      sweep.limit,
    );
    return count;
  }

  /** Whether a sweep has work, apart from lost gateways. */
  needsSweep(sweep: Omit<ClaimSweep, 'lostGateways' | 'limit'>): boolean {
    const briefBeforeMs = sweep.atMs - BRIEF_RETENTION_MS;
    return (
      isFirstBefore(this.open, sweep.openBeforeMs) ||
      isFirstBefore(this.settled, sweep.settledBeforeMs) ||
      isFirstBefore(this.brief, briefBeforeMs)
    );
  }

  createSnapshot(): ClaimsSnapshot {
    return {
      open: encodeClaims(this.open),
      settled: encodeClaims(this.settled),
      brief: encodeClaims(this.brief),
    };
  }

  restoreSnapshot(snapshot: ClaimsSnapshot): void {
    for (const map of [this.open, this.settled, this.brief, this.answered]) {
      map.clear();
    }
    this.storedBytes = 0;
    for (const [id, claim] of decodeClaims(snapshot.open)) {
      this.open.set(id, claim);
    }
    for (const [id, claim] of decodeClaims(snapshot.settled)) {
      this.end(id, claim, false);
    }
    for (const [id, claim] of decodeClaims(snapshot.brief)) {
      this.end(id, claim, true);
    }
  }

  private removeBefore(
    claims: Map<string, Claim>,
    beforeMs: number,
    limit: number,
  ): number {
    let count = 0;
    for (const [id, claim] of claims) {
      if (claim.atMs >= beforeMs || count >= limit) break;
      this.remove(id);
      count++;
    }
    return count;
  }

  private evictAnswers(): void {
    for (const [id, claim] of this.answered) {
      if (this.storedBytes <= TOTAL_ANSWERS_LIMIT_BYTES) return;
      this.dropAnswer(id, claim);
    }
  }

  private dropAnswer(id: string, claim: Claim): void {
    if (claim.answer) this.storedBytes -= measureAnswer(claim.answer);
    claim.answer = undefined;
    this.answered.delete(id);
  }
}

function encodeClaims(claims: ReadonlyMap<string, Claim>): Uint8Array {
  return Buffer.from(JSON.stringify([...claims]));
}

function decodeClaims(bytes: Uint8Array): Array<[string, Claim]> {
  const text = Buffer.from(bytes).toString('utf8');
  return JSON.parse(text) as Array<[string, Claim]>;
}

function isFirstBefore(
  claims: ReadonlyMap<string, Claim>,
  beforeMs: number,
): boolean {
  const [first] = claims.values();
  return first !== undefined && first.atMs < beforeMs;
}

function measureAnswer(answer: StoredAnswer): number {
  return Buffer.byteLength(answer.body) + answer.contentType.length;
}
