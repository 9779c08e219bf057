/**
 * One member of one replicated group: a leader-based replicated log.
 *
 * Elections use a pre-vote, so that an isolated member does not disturb the
 * others when it returns, and a leader steps down when it has not heard from
 * a majority for an election timeout. An entry is committed once a majority
 * has synced it. Each peer is served by a task of its own.
 */
import {createMachine, interpret, state, transition} from 'robot3';
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {
  AppendReply,
  AppendRequest,
  LogEntry,
  ProposeReply,
  VoteReply,
  VoteRequest,
} from '../../protocol/peer_service.ts';
import type {LogStorage} from '../../state/log/log_storage.ts';
import type {StateMachine} from '../../state/state_machine.ts';
import {createSignal, type Signal} from '../signal.ts';
import {createMutex, type Mutex} from '../mutex.ts';

/** How often a leader speaks to each peer when it has nothing to send. */
export const HEARTBEAT_MS = 150;

/** A follower that hears nothing for this long, or up to twice it, stands. */
export const ELECTION_TIMEOUT_MS = 1_000;

/** How long a leader's reading is trusted after a majority answered. */
export const LEADER_LEASE_MS = 800;

/** How long a peer may take to answer. */
const PEER_TIMEOUT_MS = 900;

/** The most entries in one append. */
const APPEND_ENTRIES = 256;

/** How long a proposal waits for its commit. */
const PROPOSE_TIMEOUT_MS = 3_000;

/** Calls that a replica makes to another. A rejection counts as silence. */
export interface ReplicaPeer {
  vote(request: VoteRequest, timeoutMs: number): Promise<VoteReply>;
  append(request: AppendRequest, timeoutMs: number): Promise<AppendReply>;
}

export interface ReplicaOptions<C, R> {
  readonly group: string;
  readonly name: string;
  /** The names of all voters, this one included. */
  readonly voters: readonly string[];
  readonly storage: LogStorage;
  readonly stateMachine: StateMachine<C, R>;
  readonly getPeer: (name: string) => ReplicaPeer;
  readonly clock: Clock;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly logger: Logger;
  /** Runs after each change of what is applied or of who leads. */
  readonly onChange?: () => void;
}

const roleMachine = createMachine('follower', {
  follower: state(transition('campaign', 'candidate')),
  candidate: state(
    transition('campaign', 'candidate'),
    transition('win', 'leader'),
    transition('follow', 'follower'),
  ),
  leader: state(transition('follow', 'follower')),
});

interface PeerProgress {
  nextIndex: number;
  matchIndex: number;
  /** When the last answered call was sent; the leader lease counts it. */
  heardAt: number;
  wake: Signal;
}

interface Waiter<R> {
  term: number;
  resolve: (reply: ProposeReply) => void;
  result?: R;
}

/** A member of a replicated group. Dispose it to stop its tasks. */
export class Replica<C, R> implements AsyncDisposable {
  private readonly role = interpret(roleMachine, () => {});
  private readonly stopped = new AbortController();
  private readonly peers = new Map<string, PeerProgress>();
  private readonly waiters = new Map<number, Waiter<R>>();
  private readonly storageLock: Mutex = createMutex();
  private readonly tasks: Array<Promise<void>> = [];
  private readonly appendWake = createSignal();
  private queue: Array<{command: C; resolve: (reply: ProposeReply) => void}> =
    [];
  private currentLeader: string | null = null;
  private commitIndex = 0;
  private appliedIndex = 0;
  private syncedIndex = 0;
  /** The index of the entry that opened this leader's term. */
  private termStartIndex = 0;
  /** When the election timer began; a campaign or a granted vote resets it. */
  private timerStartedAt: number;
  /**
   * When a leader last spoke. A member that just started may have heard one
   * before, so it counts from its start; no vote is given within the timeout.
   */
  private leaderContactAt: number;
  private leadingSince = 0;

  constructor(private readonly options: ReplicaOptions<C, R>) {
    this.timerStartedAt = options.clock.monotonic();
    this.leaderContactAt = this.timerStartedAt;
    this.syncedIndex = options.storage.lastIndex;
    for (const peer of this.otherVoters()) {
      const wake = createSignal();
      this.peers.set(peer, {nextIndex: 1, matchIndex: 0, heardAt: 0, wake});
    }
  }

  /** Starts the election timer and the tasks that serve the peers. */
  start(): void {
    this.tasks.push(this.runElectionTimer(), this.runAppender());
    for (const peer of this.peers.keys()) {
      this.tasks.push(this.runPeer(peer));
    }
  }

  /** The leader this member last heard of, itself included. */
  get leader(): string | null {
    return this.currentLeader;
  }

  get term(): number {
    return this.options.storage.hardState.term;
  }

  get applied(): number {
    return this.appliedIndex;
  }

  /** When this member became leader, on the monotonic clock. */
  get leaderSince(): number {
    return this.leadingSince;
  }

  /**
   * Whether this member leads, a majority confirmed it within the lease, and
   * everything committed before its term is applied.
   */
  isLeader(): boolean {
    if (this.role.machine.current !== 'leader') return false;
    if (this.appliedIndex < this.termStartIndex) return false;
    const age = this.options.clock.monotonic() - this.findMajorityHeardAt();
    return age < LEADER_LEASE_MS;
  }

  /** Appends a command and waits until it is applied. */
  propose(command: C): Promise<ProposeReply> {
    if (!this.isLeader()) {
      const leader = this.leader === this.options.name ? null : this.leader;
      return Promise.resolve({type: 'not-leader', leader});
    }
    return new Promise(resolve => {
      const timer = setTimeout(
        () => resolve({type: 'unknown'}),
        PROPOSE_TIMEOUT_MS,
      );
      const settle = (reply: ProposeReply) => {
        clearTimeout(timer);
        resolve(reply);
      };
      this.queue.push({command, resolve: settle});
      this.appendWake.notify();
    });
  }

  /** Answers a candidate's request for a vote. */
  async handleVote(request: VoteRequest): Promise<VoteReply> {
    return this.storageLock.run(async () => {
      const {storage} = this.options;
      if (request.preVote) {
        const granted =
          request.term >= storage.hardState.term &&
          !this.hasLiveLeader() &&
          this.isUpToDate(request);
        return {term: storage.hardState.term, granted};
      }
      if (this.hasLiveLeader()) return {term: this.term, granted: false};
      if (request.term > storage.hardState.term) {
        await this.adoptTerm(request.term);
      }
      const {term, votedFor} = storage.hardState;
      const free = votedFor === null || votedFor === request.candidate;
      const granted = request.term === term && free && this.isUpToDate(request);
      if (granted) {
        await storage.saveHardState({term, votedFor: request.candidate});
        this.timerStartedAt = this.options.clock.monotonic();
      }
      return {term, granted};
    });
  }

  /** Answers a leader's append or heartbeat. */
  async handleAppend(request: AppendRequest): Promise<AppendReply> {
    return this.storageLock.run(async () => {
      const {storage, clock} = this.options;
      if (request.term < storage.hardState.term) {
        return {term: this.term, accepted: false, matchIndex: 0};
      }
      if (request.term > storage.hardState.term) {
        await this.adoptTerm(request.term);
      }
      this.follow(request.leader);
      this.leaderContactAt = clock.monotonic();
      this.timerStartedAt = this.leaderContactAt;
      if (storage.getTerm(request.previousIndex) !== request.previousTerm) {
        const matchIndex = Math.min(
          storage.lastIndex,
          request.previousIndex - 1,
        );
        return {term: this.term, accepted: false, matchIndex};
      }
      await this.storeEntries(request.entries);
      const matchIndex = request.previousIndex + request.entries.length;
      this.commitTo(Math.min(request.commitIndex, matchIndex));
      return {term: this.term, accepted: true, matchIndex};
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    this.appendWake.notify();
    for (const peer of this.peers.values()) peer.wake.notify();
    this.failWaiters();
    await Promise.all(this.tasks);
  }

  private otherVoters(): string[] {
    return this.options.voters.filter(voter => voter !== this.options.name);
  }

  private hasLiveLeader(): boolean {
    if (this.isLeader()) return true;
    const age = this.options.clock.monotonic() - this.leaderContactAt;
    return age < ELECTION_TIMEOUT_MS;
  }

  private isUpToDate(request: VoteRequest): boolean {
    const {storage} = this.options;
    const lastTerm = storage.getTerm(storage.lastIndex) ?? 0;
    if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm;
    return request.lastIndex >= storage.lastIndex;
  }

  private async adoptTerm(term: number): Promise<void> {
    await this.options.storage.saveHardState({term, votedFor: null});
    this.follow(null);
  }

  private follow(leader: string | null): void {
    const changed = this.currentLeader !== leader;
    this.currentLeader = leader;
    if (this.role.machine.current !== 'follower') {
      this.role.send('follow');
      this.failWaiters();
    }
    if (changed && leader !== null) {
      this.options.logger.info('Follows a leader.', {
        group: this.options.group,
        leader,
        term: this.term,
      });
      this.options.onChange?.();
    }
  }

  private failWaiters(): void {
    for (const waiter of this.waiters.values()) {
      waiter.resolve({type: 'unknown'});
    }
    this.waiters.clear();
    for (const {resolve} of this.queue.splice(0)) {
      resolve({type: 'not-leader', leader: null});
    }
  }

  private async storeEntries(entries: readonly LogEntry[]): Promise<void> {
    const {storage} = this.options;
    const fresh = entries.filter(
      entry => storage.getTerm(entry.index) !== entry.term,
    );
    const first = fresh[0];
    if (!first) return;
    if (first.index <= this.commitIndex) {
      throw new Error(
        `Could not replace entry ${first.index}: it is committed already`,
      );
    }
    await storage.append(entries.filter(entry => entry.index >= first.index));
    this.syncedIndex = storage.lastIndex;
  }

  private commitTo(index: number): void {
    if (index <= this.commitIndex) return;
    this.commitIndex = index;
    const {storage, stateMachine} = this.options;
    for (const entry of storage.read(this.appliedIndex + 1, index)) {
      const result =
        entry.command === null
          ? undefined
          : stateMachine.apply(entry.command as C, entry.index);
      this.appliedIndex = entry.index;
      const waiter = this.waiters.get(entry.index);
      if (!waiter) continue;
      this.waiters.delete(entry.index);
      waiter.resolve(
        waiter.term === entry.term
          ? {type: 'committed', result}
          : {type: 'unknown'},
      );
    }
    this.options.onChange?.();
  }

  private async runElectionTimer(): Promise<void> {
    const {clock, random} = this.options;
    while (!this.stopped.signal.aborted) {
      const timeoutMs = ELECTION_TIMEOUT_MS * (1 + random());
      await clock.sleep(timeoutMs / 4, this.stopped.signal);
      if (this.stopped.signal.aborted) return;
      if (this.role.machine.current === 'leader') {
        this.checkQuorum();
        continue;
      }
      const silence = clock.monotonic() - this.timerStartedAt;
      if (silence > timeoutMs) await this.campaign();
    }
  }

  private checkQuorum(): void {
    const now = this.options.clock.monotonic();
    if (now - this.leadingSince < ELECTION_TIMEOUT_MS) return;
    if (now - this.findMajorityHeardAt() < ELECTION_TIMEOUT_MS) return;
    this.options.logger.warn('Steps down: no majority answers.', {
      group: this.options.group,
      term: this.term,
    });
    this.timerStartedAt = now;
    this.follow(null);
  }

  /** The time at which a majority, this member included, was last heard. */
  private findMajorityHeardAt(): number {
    const now = this.options.clock.monotonic();
    const times = [...this.peers.values()].map(peer => peer.heardAt);
    const sorted = [now, ...times].sort((a, b) => b - a);
    return sorted[Math.floor(this.options.voters.length / 2)] ?? 0;
  }

  private async campaign(): Promise<void> {
    this.timerStartedAt = this.options.clock.monotonic();
    this.currentLeader = null;
    if (!(await this.collectVotes(this.term + 1, true))) return;
    const term = this.term + 1;
    const stood = await this.storageLock.run(async () => {
      if (this.term !== term - 1 || this.hasLiveLeader()) return false;
      const votedFor = this.options.name;
      await this.options.storage.saveHardState({term, votedFor});
      this.role.send('campaign');
      return true;
    });
    if (!stood) return;
    const won = await this.collectVotes(term, false);
    if (won && this.term === term) await this.lead(term);
  }

  private async collectVotes(term: number, preVote: boolean): Promise<boolean> {
    const {storage, voters, name, group} = this.options;
    const request: VoteRequest = {
      group,
      term,
      candidate: name,
      lastIndex: storage.lastIndex,
      lastTerm: storage.getTerm(storage.lastIndex) ?? 0,
      preVote,
    };
    const majority = Math.floor(voters.length / 2) + 1;
    let granted = voters.includes(name) ? 1 : 0;
    let open = this.peers.size;
    if (granted >= majority) return true;
    return new Promise(resolve => {
      const settle = () => {
        open--;
        if (granted >= majority) resolve(true);
        else if (open === 0) resolve(false);
      };
      if (open === 0) resolve(false);
      for (const peer of this.peers.keys()) {
        this.options
          .getPeer(peer)
          .vote(request, PEER_TIMEOUT_MS)
          .then(async reply => {
            if (reply.granted) granted++;
            if (reply.term > this.term) {
              await this.storageLock.run(async () => {
                if (reply.term > this.term) await this.adoptTerm(reply.term);
              });
            }
            settle();
          })
          .catch(settle);
      }
    });
  }

  private async lead(term: number): Promise<void> {
    const {storage, clock, name, logger, group} = this.options;
    await this.storageLock.run(async () => {
      if (this.term !== term || this.role.machine.current !== 'candidate') {
        return;
      }
      this.role.send('win');
      this.currentLeader = name;
      this.leadingSince = clock.monotonic();
      for (const peer of this.peers.values()) {
        peer.nextIndex = storage.lastIndex + 1;
        peer.matchIndex = 0;
        peer.heardAt = 0;
      }
      const index = storage.lastIndex + 1;
      this.termStartIndex = index;
      await storage.append([{index, term, command: null}]);
      this.syncedIndex = index;
      logger.info('Leads.', {group, term});
    });
    this.advanceCommit();
    for (const peer of this.peers.values()) peer.wake.notify();
    this.options.onChange?.();
  }

  /** Turns queued proposals into entries, many to one sync. */
  private async runAppender(): Promise<void> {
    while (!this.stopped.signal.aborted) {
      if (this.queue.length === 0) await this.appendWake.wait();
      if (this.stopped.signal.aborted) return;
      await this.appendQueued();
    }
  }

  private async appendQueued(): Promise<void> {
    const {storage} = this.options;
    await this.storageLock.run(async () => {
      const batch = this.queue.splice(0, APPEND_ENTRIES);
      if (batch.length === 0) return;
      if (this.role.machine.current !== 'leader') {
        for (const {resolve} of batch) {
          resolve({type: 'not-leader', leader: this.currentLeader});
        }
        return;
      }
      const term = this.term;
      const first = storage.lastIndex + 1;
      const entries = batch.map(({command}, offset) => ({
        index: first + offset,
        term,
        command,
      }));
      batch.forEach(({resolve}, offset) =>
        this.waiters.set(first + offset, {term, resolve}),
      );
      const synced = storage.append(entries);
      await synced;
      this.syncedIndex = storage.lastIndex;
    });
    for (const peer of this.peers.values()) peer.wake.notify();
    this.advanceCommit();
  }

  private advanceCommit(): void {
    if (this.role.machine.current !== 'leader') return;
    const matches = [...this.peers.values()].map(peer => peer.matchIndex);
    const sorted = [this.syncedIndex, ...matches].sort((a, b) => b - a);
    const index = sorted[Math.floor(this.options.voters.length / 2)] ?? 0;
    if (this.options.storage.getTerm(index) !== this.term) return;
    this.commitTo(index);
  }

  /** Keeps one peer up to date for as long as this member leads. */
  private async runPeer(name: string): Promise<void> {
    const progress = this.peers.get(name);
    if (!progress) return;
    while (!this.stopped.signal.aborted) {
      if (this.role.machine.current !== 'leader') {
        await progress.wake.wait();
        continue;
      }
      const caughtUp = progress.nextIndex > this.options.storage.lastIndex;
      if (caughtUp) await progress.wake.wait(HEARTBEAT_MS);
      if (this.role.machine.current !== 'leader') continue;
      await this.sendAppend(name, progress);
    }
  }

  private async sendAppend(
    name: string,
    progress: PeerProgress,
  ): Promise<void> {
    const {storage, clock, group} = this.options;
    const term = this.term;
    const previousIndex = progress.nextIndex - 1;
    const request: AppendRequest = {
      group,
      term,
      leader: this.options.name,
      previousIndex,
      previousTerm: storage.getTerm(previousIndex) ?? 0,
      entries: storage.read(progress.nextIndex, previousIndex + APPEND_ENTRIES),
      commitIndex: this.commitIndex,
    };
    const sentAt = clock.monotonic();
    let reply: AppendReply;
    try {
      const peer = this.options.getPeer(name);
      reply = await peer.append(request, PEER_TIMEOUT_MS);
    } catch {
      await clock.sleep(HEARTBEAT_MS, this.stopped.signal);
      return;
    }
    if (reply.term > this.term) {
      await this.storageLock.run(async () => {
        if (reply.term > this.term) await this.adoptTerm(reply.term);
      });
      return;
    }
    if (this.term !== term || this.role.machine.current !== 'leader') return;
    progress.heardAt = sentAt;
    if (!reply.accepted) {
      progress.nextIndex = Math.max(1, reply.matchIndex + 1);
      return;
    }
    progress.matchIndex = Math.max(progress.matchIndex, reply.matchIndex);
    progress.nextIndex = progress.matchIndex + 1;
    this.advanceCommit();
  }
}
