/** Proposals on their way into the log, and those that await their commit. */
import type {Clock} from '../../protocol/clock.ts';
import type {ProposeReply} from '../../protocol/peer_service.ts';
import type {LogEntry, Membership} from '../../protocol/replication.ts';

/** The most entries in one append to the disk. */
const MAX_BATCH_ENTRIES = 512;

/** The most proposals that wait to be appended. */
const MAX_WAITING = 20_000;

/** How long a proposal waits for its commit. */
const COMMIT_TIMEOUT_MS = 2_500;

/** What is to become an entry. */
export interface Proposal<C> {
  /** `null` for a change of the membership. */
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

  /** How many proposals wait to be appended. */
  get waiting(): number {
    return this.queue.length;
  }

  /** Adds a proposal; resolves when its fate is known. */
  push(proposal: Proposal<C>): Promise<ProposeReply> {
    if (this.queue.length >= MAX_WAITING) {
      return Promise.resolve({type: 'not-leader', leader: null});
    }
    const deadline = this.clock.monotonic() + COMMIT_TIMEOUT_MS;
    return new Promise(resolve => {
      this.queue.push({...proposal, deadline, resolve});
    });
  }

  /** Turns the first proposals into entries that begin at `first`. */
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

  /** Answers the proposal that became an entry, now committed. */
  answer(entry: LogEntry, reply: ProposeReply): void {
    const pending = this.appended.get(entry.index);
    if (!pending) return;
    this.appended.delete(entry.index);
    const isSame = pending.term === entry.term;
    pending.resolve(isSame ? reply : {type: 'unknown'});
  }

  /** Answers those that waited too long. */
  expire(): void {
    const now = this.clock.monotonic();
    for (const [index, pending] of this.appended) {
      if (pending.deadline > now) break;
      this.appended.delete(index);
      pending.resolve({type: 'unknown'});
    }
  }

  /** Answers all, because this member does not lead any more. */
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
