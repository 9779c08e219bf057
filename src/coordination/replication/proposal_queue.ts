/** Proposals waiting to be appended, and those waiting for their commit. */
import type {Clock} from '../../protocol/clock.ts';
import type {ProposeReply} from '../../protocol/peer_service.ts';
import type {LogEntry, Membership} from '../../protocol/replication.ts';

/** The maximum number of entries per append to the disk. */
const MAX_BATCH_ENTRIES = 512;

/** The maximum number of proposals waiting to be appended. */
const MAX_WAITING = 20_000;

/** Time after which a proposal not yet committed is answered `unknown`. */
const COMMIT_TIMEOUT_MS = 2_500;

/** The content of a future log entry. */
export interface Proposal<C> {
  /** `null` for a membership change. */
  readonly command: C | null;
  readonly membership?: Membership;
}

interface Pending<C> extends Proposal<C> {
  readonly deadline: number;
  readonly resolve: (reply: ProposeReply) => void;
}

/** Holds the proposals of one leader. */
export class ProposalQueue<C> {
  private queue: Array<Pending<C>> = [];
  private readonly appended = new Map<number, Pending<C> & {term: number}>();

  constructor(private readonly clock: Clock) {}

  /** The number of proposals waiting to be appended. */
  get waiting(): number {
    return this.queue.length;
  }

  /** Adds a proposal; resolves when its outcome is known. */
  push(proposal: Proposal<C>): Promise<ProposeReply> {
    if (this.queue.length >= MAX_WAITING) {
      return Promise.resolve({type: 'not-leader', leader: null});
    }
    const deadline = this.clock.monotonic() + COMMIT_TIMEOUT_MS;
    return new Promise(resolve => {
      this.queue.push({...proposal, deadline, resolve});
    });
  }

  /**
   * Removes the next batch of proposals from the queue and returns it as
   * entries whose indices start at `first`.
   */
  take(first: number, term: number): LogEntry[] {
    return this.queue.splice(0, MAX_BATCH_ENTRIES).map((pending, offset) => {
      const index = first + offset;
      this.appended.set(index, {...pending, term});
      const {command, membership} = pending;
      return membership
        ? {index, term, command, membership}
        : {index, term, command};
    });
  }

  /**
   * Resolves the proposal behind a committed entry, with `unknown` if the
   * entry at its index is of another term and so not its own.
   */
  answer(entry: LogEntry, reply: ProposeReply): void {
    const pending = this.appended.get(entry.index);
    if (!pending) return;
    this.appended.delete(entry.index);
    const isSame = pending.term === entry.term;
    pending.resolve(isSame ? reply : {type: 'unknown'});
  }

  /** Resolves appended proposals past their deadline with `unknown`. */
  expire(): void {
    const now = this.clock.monotonic();
    for (const [index, pending] of this.appended) {
      if (pending.deadline > now) break;
      this.appended.delete(index);
      pending.resolve({type: 'unknown'});
    }
  }

  /**
   * Resolves all proposals after leadership was lost: appended ones, which may
   * still be committed, with `unknown`, the others with `not-leader`.
   */
  fail(): void {
    for (const {resolve} of this.appended.values()) {
      resolve({type: 'unknown'});
    }
    this.appended.clear();
    for (const {resolve} of this.queue.splice(0)) {
      resolve({type: 'not-leader', leader: null});
    }
  }
}
