/** State of a leader for one term, from the won election to its end. */
import type {Clock} from '../../protocol/clock.ts';
import type {Member} from '../../protocol/replication.ts';
import {createSignal, type Signal} from '../signal.ts';
import {formatMember} from './member.ts';

/** Replication progress of one peer. */
export interface PeerProgress {
  readonly member: Member;
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Index of the last entry that the peer has synced to disk. */
  matchIndex: number;
  /**
   * When the most recent call that was answered had been sent, on the
   * monotonic clock. The leader lease is measured from it.
   */
  lastContactAt: number;
  /**
   * When the peer was last known to have synced all that was committed, on the
   * monotonic clock.
   */
  caughtUpAt: number;
  /** True if the peer belongs to no group yet, until it has a snapshot. */
  needsSnapshot: boolean;
  readonly wake: Signal;
  readonly stopped: AbortController;
}

export interface LeadershipOptions {
  readonly term: number;
  /** Index of the entry that opens the term. */
  readonly startIndex: number;
  readonly clock: Clock;
  /** Replicates to a peer until its progress is stopped. */
  readonly serve: (progress: PeerProgress) => Promise<void>;
}

/** One term of one leader. */
export class Leadership {
  /** When the leadership began, on the monotonic clock. */
  readonly since: number;
  readonly stopped = new AbortController();
  readonly learners = new Map<string, Member>();
  /** New members whose start is no evidence of a loss, or not any more. */
  readonly knownSuccessors = new Map<string, Member>();
  /** True once a leadership transfer began; refuses new proposals. */
  isTransferring = false;
  private readonly progresses = new Map<string, PeerProgress>();
  private readonly tasks = new Set<Promise<void>>();

  constructor(private readonly options: LeadershipOptions) {
    this.since = options.clock.monotonic();
  }

  get term(): number {
    return this.options.term;
  }

  get startIndex(): number {
    return this.options.startIndex;
  }

  /** Returns the progress of a peer that is replicated to. */
  get(member: Member): PeerProgress | undefined {
    return this.progresses.get(formatMember(member));
  }

  /** Starts and stops tasks so that exactly these peers are replicated to. */
  servePeers(peers: readonly Member[], nextIndex: number): void {
    if (this.stopped.signal.aborted) return;
    const wanted = new Set(peers.map(formatMember));
    for (const [id, progress] of this.progresses) {
      if (wanted.has(id)) continue;
      this.progresses.delete(id);
      stopProgress(progress);
    }
    for (const member of peers) {
      if (this.get(member)) continue;
      const progress = createProgress(member, nextIndex, this.options.clock);
      this.progresses.set(formatMember(member), progress);
      const task = this.options.serve(progress);
      this.tasks.add(task);
      void task.finally(() => this.tasks.delete(task));
    }
  }

  /**
   * Lists the other voters that answered a call sent after `since`, those whose
   * log is most up to date first.
   */
  listSuccessors(voters: readonly Member[], since: number): Member[] {
    return voters
      .map(voter => this.get(voter))
      .filter(progress => progress !== undefined)
      .filter(({lastContactAt}) => lastContactAt >= since)
      .sort(
        (a, b) =>
          b.matchIndex - a.matchIndex || b.lastContactAt - a.lastContactAt,
      )
      .map(({member}) => member);
  }

  /** Wakes the replication tasks of all peers. */
  wakePeers(): void {
    for (const {wake} of this.progresses.values()) wake.notify();
  }

  /** Stops the replication tasks of all peers. */
  end(): void {
    this.stopped.abort();
    for (const progress of this.progresses.values()) stopProgress(progress);
    this.progresses.clear();
  }

  /** Resolves once all tasks have ended. */
  async settle(): Promise<void> {
    await Promise.all(this.tasks);
  }
}

function createProgress(
  member: Member,
  nextIndex: number,
  clock: Clock,
): PeerProgress {
  return {
    member,
    nextIndex,
    matchIndex: 0,
    lastContactAt: -Infinity,
    caughtUpAt: -Infinity,
    needsSnapshot: false,
    wake: createSignal(clock),
    stopped: new AbortController(),
  };
}

function stopProgress({stopped, wake}: PeerProgress): void {
  stopped.abort();
  wake.notify();
}
