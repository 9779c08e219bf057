/**
 * Accounts for the memory that a process holds for its callers and endpoints.
 *
 * Each holder reserves the memory cost of what it keeps before it keeps it. When the
 * budget is short, the holders with the most bytes for the longest time without
 * progress are evicted; one that nobody makes room for is refused. The sum of all
 * holders never exceeds the budget.
 */
import type {Clock} from '../../protocol/clock.ts';
import {silentMetrics, type Metrics} from '../../protocol/metrics.ts';
import {RejectionTally, type RejectedCaller} from './rejection_tally.ts';

/** What the memory is held for; the label of the metrics. */
export type HolderKind =
  | 'connection'
  // Header sections of many lines.
  | 'header'
  | 'body'
  // An answer of an endpoint that is being received.
  | 'answer'
  // An answer that was written and that its caller has not read.
  | 'unread';

/**
 * When a holder is evicted: before others; only for holders of this rank, as its
 * request may have run; or not at all, as its request is being forwarded.
 */
export type Eviction = 'first' | 'last' | 'never';

/** Why a holder was evicted or refused. */
export type RejectionCause =
  // It had the most bytes for the longest time when the budget was short.
  | 'budget'
  // It exceeded the share of one connection.
  | 'share'
  // All holders of its kind exceeded the bound of the kind.
  | 'kind';

export interface HolderOptions {
  readonly kind: HolderKind;
  readonly eviction: Eviction;
  /** Names the holder in logs, such as the address of a caller. */
  readonly name: string;
  /** The holders of one owner share `shareBytes`; none by default. */
  readonly owner?: object;
  /** Gives up what is held; the holder is no longer counted. */
  readonly evict: (cause: RejectionCause) => void;
}

export interface MemoryAccountOptions {
  readonly clock: Pick<Clock, 'monotonic'>;
  readonly metrics?: Metrics;
  /** The bound of the sum, in bytes. */
  readonly budgetBytes: number;
  /** The bound of the holders of one owner; unbounded by default. */
  readonly shareBytes?: number;
  /** The bounds of kinds; that of the sum by default. */
  readonly kindBytes?: Partial<Readonly<Record<HolderKind, number>>>;
}

/** A holder in a report. */
export interface HolderReport {
  readonly kind: HolderKind;
  readonly name: string;
  readonly bytes: number;
  /** How long it has made no progress, in ms. */
  readonly idleMs: number;
}

/** Less progress than this between two sweeps counts as none. */
const MIN_PROGRESS_BYTES = 16 * 1024;

/** Added to the age, so that the size decides between young holders, in ms. */
const AGE_OFFSET_MS = 1_000;

/** One holder of memory. */
export class MemoryHolder {
  bytes = 0;
  eviction: Eviction;
  /** When it last made progress, on the monotonic clock. */
  idleSince: number;
  private progressBytes = 0;

  constructor(
    private readonly account: MemoryAccount,
    readonly options: HolderOptions,
    now: number,
  ) {
    this.eviction = options.eviction;
    this.idleSince = now;
  }

  /** Reserves `bytes` in all; false if it is refused and no longer counted. */
  set(bytes: number): boolean {
    return this.account.update(this, bytes);
  }

  /** Records bytes that were received or sent. */
  addProgress(bytes: number): void {
    this.progressBytes += bytes;
  }

  /** Changes when the holder is evicted. */
  setEviction(eviction: Eviction): void {
    if (eviction !== this.eviction) this.account.setEviction(this, eviction);
  }

  /** Ends the reservation. */
  release(): void {
    this.account.release(this);
  }

  /** Updates the time of the last progress. */
  sweep(now: number): void {
    if (this.progressBytes >= MIN_PROGRESS_BYTES) this.idleSince = now;
    this.progressBytes = 0;
  }
}

export class MemoryAccount {
  private readonly holders = new Set<MemoryHolder>();
  private readonly byKind: Record<HolderKind, number> = {
    connection: 0,
    header: 0,
    body: 0,
    answer: 0,
    unread: 0,
  };
  private readonly byEviction = {first: 0, last: 0, never: 0};
  private readonly byOwner = new Map<object, number>();
  private sumBytes = 0;
  /** What the largest request takes; bounds are never below it. */
  private largestBytes = 0;
  private readonly metrics: Metrics;
  private readonly tally = new RejectionTally();

  constructor(private readonly options: MemoryAccountOptions) {
    this.metrics = options.metrics ?? silentMetrics;
  }

  /** The time on the monotonic clock, in ms. */
  get now(): number {
    return this.options.clock.monotonic();
  }

  get budgetBytes(): number {
    return Math.max(this.options.budgetBytes, this.largestBytes);
  }

  /** Raises the bounds, if they are lower, to what one request may take. */
  ensureFits(bytes: number): void {
    this.largestBytes = bytes;
  }

  /** What all holders have reserved, in bytes. */
  get bytes(): number {
    return this.sumBytes;
  }

  /** Adds a holder that has reserved nothing yet. */
  open(options: HolderOptions): MemoryHolder {
    return new MemoryHolder(this, options, this.options.clock.monotonic());
  }

  /** Whether `bytes` could be reserved by evicting others, within a kind's bound. */
  hasRoom(bytes: number, kind?: HolderKind): boolean {
    const {last, never} = this.byEviction;
    const {kindBytes = {}} = this.options;
    const held = kind ? this.byKind[kind] : 0;
    const maxBytes = (kind && kindBytes[kind]) ?? Infinity;
    return last + never + bytes <= this.budgetBytes && held + bytes <= maxBytes;
  }

  countBytes(kind: HolderKind): number {
    return this.byKind[kind];
  }

  countHolders(kind: HolderKind): number {
    let count = 0;
    for (const {options} of this.holders) if (options.kind === kind) count++;
    return count;
  }

  update(holder: MemoryHolder, bytes: number): boolean {
    const growth = bytes - holder.bytes;
    if (growth > 0) {
      const cause = this.makeRoom(holder, bytes);
      if (cause) {
        this.record(holder, cause);
        this.release(holder);
        return false;
      }
    }
    this.holders.add(holder);
    this.add(holder, bytes - holder.bytes);
    return true;
  }

  setEviction(holder: MemoryHolder, eviction: Eviction): void {
    this.byEviction[holder.eviction] -= holder.bytes;
    this.byEviction[eviction] += holder.bytes;
    holder.eviction = eviction;
  }

  release(holder: MemoryHolder): void {
    this.holders.delete(holder);
    this.add(holder, -holder.bytes);
  }

  /**
   * Counts a rejection by the user of the account, for another cause.
   *
   * @param name The address of the caller.
   */
  recordRejection(kind: HolderKind, cause: string, name: string): void {
    this.metrics.count('memory_rejections', 1, {kind, cause});
    this.tally.record(`${kind} ${cause}`, name);
  }

  /** Updates times of progress and gauges; to be called at an interval. */
  sweep(): void {
    const now = this.options.clock.monotonic();
    for (const holder of this.holders) holder.sweep(now);
    this.metrics.gauge('memory_budget_bytes', this.budgetBytes);
    for (const [kind, bytes] of Object.entries(this.byKind)) {
      this.metrics.gauge('memory_held_bytes', bytes, {kind});
    }
  }

  /** Takes the rejections since the last call, by kind and cause. */
  takeRejections(): ReadonlyMap<string, number> {
    return this.tally.takeCauses();
  }

  /** Takes the callers with the most rejections since the last call. */
  takeRejectedCallers(count: number): RejectedCaller[] {
    return this.tally.takeCallers(count);
  }

  /** Lists the holders with the most bytes for the longest time. */
  listLargest(count: number): HolderReport[] {
    const now = this.options.clock.monotonic();
    return [...this.holders]
      .sort((a, b) => scoreHolder(b, now) - scoreHolder(a, now))
      .slice(0, count)
      .map(({options: {kind, name}, bytes, idleSince}) => ({
        kind,
        name,
        bytes,
        idleMs: Math.round(now - idleSince),
      }));
  }

  /** Evicts others until `holder` may have `bytes`; the cause if it may not. */
  private makeRoom(holder: MemoryHolder, bytes: number): RejectionCause | null {
    const {shareBytes = Infinity, kindBytes = {}} = this.options;
    const {budgetBytes, largestBytes} = this;
    const {kind, owner} = holder.options;
    const owned = owner ? (this.byOwner.get(owner) ?? 0) : 0;
    if (owned + bytes - holder.bytes > Math.max(shareBytes, largestBytes))
      return 'share';
    const maxKindBytes = kindBytes[kind] ?? Infinity;
    while (this.byKind[kind] + bytes - holder.bytes > maxKindBytes) {
      const victim = this.findLargest(holder, bytes);
      if (victim === holder) return 'kind';
      this.evict(victim, 'kind');
    }
    while (this.sumBytes + bytes - holder.bytes > budgetBytes) {
      const victim = this.findVictim(holder, bytes);
      if (victim === holder) return 'budget';
      this.evict(victim, 'budget');
    }
    return null;
  }

  /** Finds the largest holder of the kind of `holder`. */
  private findLargest(holder: MemoryHolder, bytes: number): MemoryHolder {
    let largest = holder;
    let mostBytes = bytes;
    for (const each of this.holders) {
      if (each === holder || each.options.kind !== holder.options.kind)
        continue;
      if (each.eviction === 'never' || each.bytes <= mostBytes) continue;
      largest = each;
      mostBytes = each.bytes;
    }
    return largest;
  }

  /** Finds who makes room for `holder`, which is itself if no other does. */
  private findVictim(holder: MemoryHolder, bytes: number): MemoryHolder {
    const now = this.options.clock.monotonic();
    const othersBytes =
      this.byEviction.first - (holder.eviction === 'first' ? holder.bytes : 0);
    // Requests that have not begun give way to those that may have run.
    const rank: Eviction = othersBytes > 0 ? 'first' : 'last';
    if (rank === 'last' && holder.eviction === 'first') return holder;
    let victim = holder;
    let score =
      holder.eviction === rank ? scoreBytes(holder, bytes, now) : -Infinity;
    for (const each of this.holders) {
      if (each === holder || each.eviction !== rank) continue;
      const eachScore = scoreHolder(each, now);
      if (eachScore <= score) continue;
      victim = each;
      score = eachScore;
    }
    return victim;
  }

  private evict(holder: MemoryHolder, cause: RejectionCause): void {
    this.record(holder, cause);
    this.release(holder);
    holder.options.evict(cause);
  }

  private record({options}: MemoryHolder, cause: RejectionCause): void {
    this.recordRejection(options.kind, cause, options.name);
  }

  private add(holder: MemoryHolder, bytes: number): void {
    const {kind, owner} = holder.options;
    holder.bytes += bytes;
    this.sumBytes += bytes;
    this.byKind[kind] += bytes;
    this.byEviction[holder.eviction] += bytes;
    if (!owner) return;
    const owned = (this.byOwner.get(owner) ?? 0) + bytes;
    if (owned > 0) this.byOwner.set(owner, owned);
    else this.byOwner.delete(owner);
  }
}

function scoreHolder(holder: MemoryHolder, now: number): number {
  return scoreBytes(holder, holder.bytes, now);
}

function scoreBytes(
  {idleSince}: MemoryHolder,
  bytes: number,
  now: number,
): number {
  return bytes * (AGE_OFFSET_MS + now - idleSince);
}
