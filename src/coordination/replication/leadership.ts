/** What a member knows while it leads: one term, from its win to its end. */
import type {Clock} from '../../protocol/clock.ts';
import type {Member} from '../../protocol/replication.ts';
import {createSignal, type Signal} from '../signal.ts';
import {formatMember} from './member.ts';

/** How far one peer has come. */
export interface PeerProgress {
  readonly member: Member;
  /** The next entry to send. */
  nextIndex: number;
  /** The last entry that the peer has synced. */
  matchIndex: number;
  /** When the last answered call was sent; the leader lease counts it. */
  lastContactAt: number;
  /** True until the peer belongs to the group. */
  needsSnapshot: boolean;
  readonly wake: Signal;
  readonly stopped: AbortController;
}

export interface LeadershipOptions {
  readonly term: number;
  /** The entry that opens the term. */
  readonly startIndex: number;
  readonly clock: Clock;
  /** Runs the task that serves a peer until its progress is stopped. */
  readonly serve: (progress: PeerProgress) => Promise<void>;
}

/** One term of one leader. */
export class Leadership {
  /** When it began, on the monotonic clock. */
  readonly since: number;
  readonly stopped = new AbortController();
  readonly learners = new Map<string, Member>();
  /** True once the leader hands over; it then takes no new proposals. */
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

  /** The progress of a peer, if it is served. */
  get(member: Member): PeerProgress | undefined {
    return this.progresses.get(formatMember(member));
  }

  /** Serves exactly these peers. */
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

  /** Wakes the tasks of all peers. */
  wakePeers(): void {
    for (const {wake} of this.progresses.values()) wake.notify();
  }

  /** Ends the tasks of all peers. */
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
    needsSnapshot: false,
    wake: createSignal(clock),
    stopped: new AbortController(),
  };
}

function stopProgress({stopped, wake}: PeerProgress): void {
  stopped.abort();
  wake.notify();
}
