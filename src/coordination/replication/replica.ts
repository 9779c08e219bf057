/**
 * One member of a replicated group with a leader-based replicated log (Raft).
 *
 * Elections use a pre-vote, so that an isolated member does not disrupt the
 * group when it returns. A leader steps down if it has had no contact with a
 * majority for an election timeout. An entry is committed once a majority has
 * synced it. A separate task replicates to each peer. The membership is part
 * of the log, and a voter is identified by its host and its disk's
 * incarnation.
 */
import {createMachine, interpret, state, transition} from 'robot3';
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {ProposeReply} from '../../protocol/peer_service.ts';
import type {
  AppendReply,
  AppendRequest,
  FormRequest,
  InstallReply,
  InstallRequest,
  LogEntry,
  Member,
  Membership,
  ReplicaDescription,
  SilentMember,
  TransferRequest,
  VoteReply,
  VoteRequest,
} from '../../protocol/replication.ts';
import {DiskFullError, StorageFailedError} from '../../state/errors.ts';
import type {LogStorage} from '../../state/log/log_storage.ts';
import {
  decodeSnapshot,
  encodeSnapshot,
} from '../../state/snapshot/snapshot_codec.ts';
import type {StateMachine} from '../../state/state_machine.ts';
import {createMutex} from '../mutex.ts';
import {createSignal} from '../signal.ts';
import {collectVotes} from './collect_votes.ts';
import {formGroup} from './formation.ts';
import type {Founder} from './founder.ts';
import {describeLeadership, type GroupStatus} from './group_status.ts';
import {Leadership, type PeerProgress} from './leadership.ts';
import {
  findMajorityValue,
  formatMember,
  includesMember,
  isSameMember,
  type ReplicaHost,
} from './member.ts';
import {MemberContacts} from './member_contacts.ts';
import {MembershipHistory} from './membership_history.ts';
import {repairMembership} from './repair_membership.ts';
import {
  HEARTBEAT_MS,
  LEARNER_HEARTBEAT_MS,
  REACHABLE_MS,
  replicateToPeer,
  type ReplicaPeer,
} from './peer_replicator.ts';
import type {VoterView} from './plan_membership.ts';
import {ProposalQueue, type Proposal} from './proposal_queue.ts';
import {SnapshotReceiver} from './snapshot_receiver.ts';
import {transferLeadership} from './transfer_leadership.ts';

/**
 * A follower without contact with a leader for this long, plus a random delay
 * of up to half of it, starts an election.
 */
export const ELECTION_TIMEOUT_MS = 1_000;

/** The time without contact after which a leader is no longer named. */
const FORGET_LEADER_MS = 2 * ELECTION_TIMEOUT_MS;

/**
 * The scale of the random delay after which a candidate that lost an election
 * campaigns again; it grows after some losses. Several round trips between
 * regions, so that two candidates seldom collide again.
 */
const ELECTION_RETRY_MS = 500;

/** The lost elections after which the delay doubles each time. */
const MAX_QUICK_RETRIES = 3;

/**
 * A member that has voted refuses other candidates' pre-votes for this long, in
 * which the candidate that it voted for can win and be heard.
 */
const VOTE_GRACE_MS = 400;

/**
 * How long leadership is trusted, counted from the sending of the calls that a
 * majority last answered. Shorter than the election timeout, during which
 * voters in contact with the leader refuse other candidates.
 */
export const LEADER_LEASE_MS = 800;

/**
 * On a full disk, a leader steps down and the member does not campaign for this
 * long.
 */
const DISK_FULL_BACKOFF_MS = 5_000;

/** Default time without contact after which a voter is replaced. */
const REPLACE_AFTER_MS = 30_000;

/**
 * Default time without contact after which a voter is replaced if a member with
 * an empty disk has started.
 */
const SUCCEEDED_AFTER_MS = 1_500;

/** Default number of learners that are kept caught up. */
const SPARE_COUNT = 1;

/** Default number of entries after which a snapshot is taken. */
const SNAPSHOT_ENTRIES = 4_096;

/** Size in bytes of the entries after which a snapshot is taken. */
const SNAPSHOT_TAIL_BYTES = 2 * 1024 * 1024;

export interface ReplicaOptions<C, R> {
  readonly group: string;
  readonly name: string;
  /**
   * The hosts that bootstrap a new group, which the first one initiates. Empty
   * if this member does not take part in that, or if there are founders.
   */
  readonly bootstrapHosts: readonly ReplicaHost[];
  /** Forms a new group with the other founders; none by default. */
  readonly founder?: Founder | null;
  /** Lists the hosts that may currently run replicas. */
  readonly listHosts: () => readonly ReplicaHost[];
  /** The target number of voters; the other hosts are spares. */
  readonly voterCount: number;
  /**
   * How many of the spares are kept caught up, so that a lost voter is replaced
   * by a single commit; 1 by default.
   */
  readonly spareCount?: number;
  readonly storage: LogStorage;
  readonly stateMachine: StateMachine<C, R>;
  readonly getPeer: (name: string) => ReplicaPeer;
  readonly clock: Clock;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  readonly logger: Logger;
  /**
   * Time without contact after which a voter is replaced; 30,000 by default.
   */
  readonly replaceAfterMs?: number;
  /**
   * The same while a member without a vote has started with an empty disk, as
   * the successor of a lost host does; 1,500 by default.
   */
  readonly succeededAfterMs?: number;
  /**
   * Number of entries after which a snapshot is taken; 4,096 by default.
   */
  readonly snapshotEntries?: number;
  /** Called after each change of the applied state or of the leader. */
  readonly onChange?: () => void;
}

const roleMachine = createMachine('follower', {
  follower: state(
    transition('campaign', 'candidate'),
    transition('fail', 'failed'),
  ),
  candidate: state(
    transition('campaign', 'candidate'),
    transition('win', 'leader'),
    transition('follow', 'follower'),
    transition('fail', 'failed'),
  ),
  leader: state(transition('follow', 'follower'), transition('fail', 'failed')),
  failed: state(),
});

/**
 * A member of a replicated group. Disposing it transfers leadership if it leads
 * and stops its tasks.
 */
export class Replica<C, R> implements AsyncDisposable {
  private readonly role = interpret(roleMachine, () => {});
  private readonly stopped = new AbortController();
  private readonly storageLock = createMutex();
  private readonly snapshotLock = createMutex();
  private readonly tasks: Array<Promise<void>> = [];
  private readonly appendWake;
  private readonly proposals: ProposalQueue<C>;
  private readonly memberships: MembershipHistory;
  private readonly receiver = new SnapshotReceiver();
  private readonly contacts = new MemberContacts();
  private readonly self: Member;
  /** When it was opened with a new disk, on the monotonic clock. */
  private readonly emptySince: number | null;
  private leadership: Leadership | null = null;
  private currentLeader: string | null = null;
  private commitIndex: number;
  private appliedIndex: number;
  private campaigning = false;
  private snapshotting = false;
  /**
   * When the election timer was last reset, by contact with a leader, stepping
   * down, a campaign or a granted vote.
   */
  private timerStartedAt: number;
  /** The time after the reset at which an election starts. */
  private electionTimeoutMs: number;
  /**
   * When the membership last changed. A leader then waits for the contact of a
   * new majority as after an election.
   */
  private membershipChangedAt = -Infinity;
  /** When this member last voted, for itself or another one. */
  private votedAt = -Infinity;
  /** The elections lost since the last contact with a leader. */
  private lostElections = 0;
  /**
   * Time of the last contact with a leader. No vote is granted within an
   * election timeout of it. Starts at the time of construction, because the
   * member may have had contact with a leader just before a restart.
   */
  private leaderContactAt: number;
  /** The highest commit index of a leader in the calls handled so far. */
  private leaderCommitIndex = 0;
  private pausedUntil = -Infinity;

  private constructor(private readonly options: ReplicaOptions<C, R>) {
    const {clock, storage, name} = options;
    this.self = {name, incarnation: storage.incarnation};
    this.emptySince = storage.isNew ? clock.monotonic() : null;
    this.appendWake = createSignal(clock);
    this.proposals = new ProposalQueue(clock);
    this.memberships = new MembershipHistory(storage);
    this.timerStartedAt = clock.monotonic();
    this.electionTimeoutMs = this.drawElectionTimeout();
    this.leaderContactAt = this.timerStartedAt;
    this.commitIndex = storage.snapshot?.index ?? 0;
    this.appliedIndex = this.commitIndex;
  }

  /** Opens a member, restoring its state from the stored snapshot. */
  static async open<C, R>(
    options: ReplicaOptions<C, R>,
  ): Promise<Replica<C, R>> {
    const bytes = await options.storage.readSnapshot();
    const snapshot = bytes && decodeSnapshot(bytes);
    if (snapshot && snapshot.index > 0) {
      options.stateMachine.restoreSnapshot(snapshot.state);
    }
    return new Replica(options);
  }

  /** Starts the election timer and the other tasks. */
  start(): void {
    this.tasks.push(this.runElectionTimer(), this.runAppender());
    const {storage} = this.options;
    const formation = formGroup({
      ...this.options,
      self: this.self,
      signal: this.stopped.signal,
      getMembership: () => this.membership,
      getFormation: () =>
        storage.snapshot?.index === 0 ? storage.snapshot.membership : null,
      form: membership => this.form(membership),
    });
    this.tasks.push(formation.catch(error => this.logFailure(error)));
  }

  /**
   * The leader as far as this member knows, possibly itself. `null` if none
   * made contact recently: a member that does not vote never campaigns, so it
   * learns of a lost leader by silence alone.
   */
  get leader(): string | null {
    if (this.leadership) return this.currentLeader;
    const age = this.options.clock.monotonic() - this.leaderContactAt;
    return age < FORGET_LEADER_MS ? this.currentLeader : null;
  }

  get term(): number {
    return this.options.storage.hardState.term;
  }

  get applied(): number {
    return this.appliedIndex;
  }

  /** The membership in force; `null` before the group is formed. */
  get membership(): Membership | null {
    return this.memberships.current;
  }

  /** Whether the membership in force is known to be committed. */
  get hasCommittedMembership(): boolean {
    return this.memberships.lastChangeIndex <= this.commitIndex;
  }

  /** When this member became leader, on the monotonic clock. */
  get leaderSince(): number {
    return this.leadership?.since ?? this.options.clock.monotonic();
  }

  /**
   * Whether this member is the leader, a majority confirmed it within the
   * leader lease, and everything committed before its term is applied.
   */
  isLeader(): boolean {
    const {leadership} = this;
    if (!leadership || leadership.isTransferring) return false;
    if (this.appliedIndex < leadership.startIndex) return false;
    const age = this.options.clock.monotonic() - this.findMajorityContactAt();
    return age < LEADER_LEASE_MS;
  }

  /** Appends a command and waits until it is applied. */
  async propose(command: C): Promise<ProposeReply> {
    if (!this.isLeader()) return this.refuse();
    return this.enqueue({command});
  }

  /** Returns the state of the group as this member sees it. */
  getStatus(): GroupStatus {
    const {self, leader, leadership, appliedIndex} = this;
    const {group, storage, clock} = this.options;
    const {lastIndex} = storage;
    const voters = this.membership?.voters ?? [];
    const now = clock.monotonic();
    const leading =
      leadership &&
      describeLeadership({self, voters, leadership, lastIndex, now});
    return {group, self, leader, voters, appliedIndex, lastIndex, leading};
  }

  /** Returns this member's incarnation and whether it belongs to a group. */
  describe(): ReplicaDescription {
    const {incarnation} = this.self;
    const formed = this.membership !== null;
    const {lastIndex} = this.options.storage;
    const description = {incarnation, formed, lastIndex};
    if (this.emptySince === null) return description;
    const emptySinceMs = this.options.clock.monotonic() - this.emptySince;
    return {...description, emptySinceMs};
  }

  /**
   * Handles another member's request for the description. A replica whose disk
   * has failed rejects it: it would otherwise count as one that can vote.
   */
  async handleDescribe(): Promise<ReplicaDescription> {
    this.checkRecipient(this.self.incarnation);
    return this.describe();
  }

  /** Handles a request to join a newly formed group. */
  async handleForm(request: FormRequest): Promise<ReplicaDescription> {
    if (request.to === this.self.incarnation) {
      await this.form(request.membership);
    }
    return this.describe();
  }

  /** Handles a candidate's request for a vote or pre-vote. */
  async handleVote(request: VoteRequest): Promise<VoteReply> {
    this.checkRecipient(request.to);
    return this.runWithStorage(async () => {
      const refusal = {term: this.term, granted: false};
      if (!this.membership) return refusal;
      if (this.hasLiveLeader() && !request.transfer) return refusal;
      if (request.preVote) {
        const granted = this.canSupport(request);
        if (granted) this.postponeElection();
        return {term: this.term, granted};
      }
      if (request.term > this.term) await this.adoptTerm(request.term);
      const {term, votedFor} = this.options.storage.hardState;
      const canVote = votedFor === null || votedFor === request.candidate;
      const granted =
        request.term === term && canVote && this.isUpToDate(request);
      if (granted) {
        const vote = {term, votedFor: request.candidate};
        await this.options.storage.saveHardState(vote);
        this.resetElectionTimer();
        this.votedAt = this.timerStartedAt;
      }
      return {term, granted};
    });
  }

  /** Handles a leader's append or heartbeat. */
  async handleAppend(request: AppendRequest): Promise<AppendReply> {
    this.checkRecipient(request.to);
    return this.runWithStorage(async () => {
      const {storage} = this.options;
      const formed = this.membership !== null;
      const reject = (matchIndex: number): AppendReply => {
        this.recordLeaderCommit(request.commitIndex);
        return {term: this.term, accepted: false, matchIndex, formed};
      };
      if (!(await this.acceptLeader(request))) return reject(0);
      this.contacts.record(
        request.silent ?? [],
        request.knownSuccessors ?? [],
        this.leaderContactAt,
      );
      if (!formed) return reject(0);
      const {previousIndex} = request;
      if (previousIndex > storage.lastIndex) return reject(storage.lastIndex);
      if (storage.getTerm(previousIndex) !== request.previousTerm) {
        return reject(this.commitIndex);
      }
      await this.storeEntries(request.entries);
      const matchIndex = previousIndex + request.entries.length;
      this.commitTo(Math.min(request.commitIndex, matchIndex));
      this.recordLeaderCommit(request.commitIndex);
      return {term: this.term, accepted: true, matchIndex, formed};
    });
  }

  /** Handles a chunk of a leader's snapshot. */
  async handleInstall(request: InstallRequest): Promise<InstallReply> {
    this.checkRecipient(request.to);
    return this.runWithStorage(async () => {
      const reply = (installed: boolean): InstallReply => ({
        term: this.term,
        received: this.receiver.received,
        installed,
      });
      if (!(await this.acceptLeader(request))) return reply(false);
      if (this.membership && request.index <= this.commitIndex) {
        this.receiver.clear();
        return reply(true);
      }
      this.recordLeaderCommit(request.index);
      const received = this.receiver.addChunk(request);
      if (!received) return reply(false);
      const {snapshot, bytes} = received;
      await this.snapshotLock.run(() =>
        this.options.storage.saveSnapshot(snapshot, bytes),
      );
      if (snapshot.index > 0) {
        this.options.stateMachine.restoreSnapshot(snapshot.state);
      }
      this.memberships.reset(this.options.storage);
      this.commitIndex = snapshot.index;
      this.appliedIndex = snapshot.index;
      const {group} = this.options;
      this.options.logger.info('Installs a snapshot from the leader.', {
        group,
        index: snapshot.index,
        bytes: bytes.length,
      });
      this.options.onChange?.();
      return reply(true);
    });
  }

  /** Handles a leader's request to take over leadership from it. */
  async handleTransfer(request: TransferRequest): Promise<{stands: boolean}> {
    this.checkRecipient(request.to);
    if (request.term !== this.term) return {stands: false};
    await this.campaign({transfer: true});
    return {stands: this.leadership !== null};
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.transferLeadership();
    this.stopped.abort();
    this.appendWake.notify();
    const {leadership} = this;
    this.endLeadership();
    await Promise.all([...this.tasks, leadership?.settle()]);
  }

  private isVoter(): boolean {
    return (
      this.membership !== null && includesMember(this.membership, this.self)
    );
  }

  /**
   * Whether this member is the leader, or had contact with one within the
   * election timeout.
   */
  hasLiveLeader(): boolean {
    if (this.isLeader()) return true;
    const age = this.options.clock.monotonic() - this.leaderContactAt;
    return age < ELECTION_TIMEOUT_MS;
  }

  /** Whether this member would vote for the candidate of a pre-vote. */
  private canSupport(request: VoteRequest): boolean {
    const votedMs = this.options.clock.monotonic() - this.votedAt;
    const isFree = votedMs >= VOTE_GRACE_MS;
    return isFree && request.term > this.term && this.isUpToDate(request);
  }

  /** Leaves the candidate that is supported the time to win an election. */
  private postponeElection(): void {
    const now = this.options.clock.monotonic();
    const leftMs = this.timerStartedAt + this.electionTimeoutMs - now;
    const graceMs = VOTE_GRACE_MS * (0.75 + this.options.random() / 2);
    this.timerStartedAt = now;
    this.electionTimeoutMs = Math.max(leftMs, graceMs);
  }

  /**
   * Whether this member is the leader, or had contact with one within the
   * election timeout and has applied what was committed then.
   */
  isFresh(): boolean {
    if (this.isLeader()) return true;
    if (this.leader === null || !this.hasLiveLeader()) return false;
    return this.appliedIndex >= this.leaderCommitIndex;
  }

  private recordLeaderCommit(index: number): void {
    this.leaderCommitIndex = Math.max(this.leaderCommitIndex, index);
  }

  private isUpToDate(request: VoteRequest): boolean {
    const {storage} = this.options;
    const lastTerm = storage.getTerm(storage.lastIndex) ?? 0;
    if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm;
    return request.lastIndex >= storage.lastIndex;
  }

  /**
   * Throws if the call is addressed to another incarnation, such as an earlier
   * disk of this host, or if the disk has failed.
   */
  private checkRecipient(to: string): void {
    if (to !== this.self.incarnation) {
      throw new Error(`Could not accept a call for incarnation "${to}"`);
    }
    if (this.role.machine.current === 'failed') {
      throw new StorageFailedError('Could not accept a call: the disk failed');
    }
  }

  /**
   * Runs a task that reads or writes the storage, excluding all other such
   * tasks, and handles storage errors.
   */
  private runWithStorage<T>(task: () => Promise<T>): Promise<T> {
    return this.storageLock.run(async () => {
      try {
        return await task();
      } catch (error) {
        this.handleStorageError(error);
        throw error;
      }
    });
  }

  private handleStorageError(error: unknown): void {
    const {clock, logger, group} = this.options;
    const reason = (error as Error).message;
    if (error instanceof StorageFailedError) {
      if (this.role.machine.current === 'failed' || this.stopped.signal.aborted)
        return;
      logger.error('Stops the replica: a disk write or sync failed.', {
        group,
        reason,
      });
      this.currentLeader = null;
      this.role.send('fail');
      this.endLeadership();
    } else if (error instanceof DiskFullError) {
      logger.error('Pauses campaigning: the disk is full.', {group, reason});
      this.pausedUntil = clock.monotonic() + DISK_FULL_BACKOFF_MS;
      if (this.leadership) this.follow(null);
    }
  }

  private logFailure(error: unknown): void {
    const {logger, group} = this.options;
    const reason = (error as Error).message;
    logger.warn('Could not complete a replica task.', {group, reason});
  }

  private async form(membership: Membership): Promise<void> {
    await this.runWithStorage(async () => {
      const {storage, group, logger} = this.options;
      if (this.membership || storage.lastIndex > 0) return;
      const snapshot = {index: 0, term: 0, membership, state: null};
      await storage.saveSnapshot(snapshot, encodeSnapshot(snapshot));
      this.memberships.reset(storage);
      const voters = membership.voters.map(({name}) => name);
      logger.info('Joins a new group.', {group, voters});
    });
  }

  private async adoptTerm(term: number): Promise<void> {
    await this.options.storage.saveHardState({term, votedFor: null});
    this.follow(null);
  }

  /** Adopts a later term reported by a peer, stepping down if needed. */
  private async observeTerm(term: number): Promise<void> {
    await this.runWithStorage(async () => {
      if (term > this.term) await this.adoptTerm(term);
    });
  }

  /**
   * Follows the sender as leader. Returns false if its term is older than the
   * current one.
   */
  private async acceptLeader({
    term,
    leader,
  }: {
    term: number;
    leader: string;
  }): Promise<boolean> {
    if (term < this.term) return false;
    if (term > this.term) await this.adoptTerm(term);
    this.follow(leader);
    this.resetElectionTimer();
    this.lostElections = 0;
    this.leaderContactAt = this.timerStartedAt;
    return true;
  }

  private follow(leader: string | null): void {
    const changed = this.currentLeader !== leader;
    this.currentLeader = leader;
    const role = this.role.machine.current;
    if (role === 'leader' || role === 'candidate') this.role.send('follow');
    this.endLeadership();
    if (!changed) return;
    if (leader !== null) {
      const {group, logger} = this.options;
      logger.info('Follows a leader.', {group, leader, term: this.term});
    }
    this.options.onChange?.();
  }

  private endLeadership(): void {
    if (this.leadership) {
      const now = this.options.clock.monotonic();
      const silent = this.listSilent(0);
      this.contacts.record(silent, this.listKnownSuccessors(), now);
    }
    this.leadership?.end();
    this.leadership = null;
    this.proposals.fail();
  }

  private async storeEntries(entries: readonly LogEntry[]): Promise<void> {
    const {storage} = this.options;
    const first = entries.find(
      entry =>
        entry.index > this.commitIndex &&
        storage.getTerm(entry.index) !== entry.term,
    );
    if (!first) return;
    await this.append(entries.filter(entry => entry.index >= first.index));
  }

  private async append(entries: readonly LogEntry[]): Promise<void> {
    await this.options.storage.append(entries);
    this.memberships.replaceFrom(entries);
    if (entries.some(({membership}) => membership)) {
      this.membershipChangedAt = this.options.clock.monotonic();
    }
  }

  private commitTo(index: number): void {
    if (index <= this.commitIndex) return;
    this.commitIndex = index;
    const {storage} = this.options;
    for (const entry of storage.read(this.appliedIndex + 1, index)) {
      const reply = this.applyEntry(entry);
      this.appliedIndex = entry.index;
      this.proposals.answer(entry, reply);
    }
    this.options.onChange?.();
    void this.takeSnapshot().catch(error => this.logFailure(error));
  }

  /**
   * Applies an entry. A command on which the state machine throws is skipped,
   * on all members alike, so that it does not block the entries after it.
   */
  private applyEntry(entry: LogEntry): ProposeReply {
    const {stateMachine, logger, group} = this.options;
    if (entry.command === null || entry.command === undefined) {
      return {type: 'committed'};
    }
    try {
      const result = stateMachine.apply(entry.command as C, entry.index);
      return {type: 'committed', result};
    } catch (error) {
      const reason = (error as Error).message;
      logger.error('Skips a command: it could not be applied.', {
        group,
        index: entry.index,
        reason,
      });
      return {type: 'unknown'};
    }
  }

  /**
   * Takes a snapshot once a limit on the entries since the last one is reached
   * and the log's tail is at least as large as the last snapshot.
   */
  private async takeSnapshot(): Promise<void> {
    const {storage, stateMachine} = this.options;
    const limit = this.options.snapshotEntries ?? SNAPSHOT_ENTRIES;
    const entries = this.appliedIndex - (storage.snapshot?.index ?? 0);
    const full = entries >= limit || storage.tailBytes >= SNAPSHOT_TAIL_BYTES;
    const outweighs = storage.tailBytes >= storage.snapshotBytes;
    if (this.snapshotting || !full || !outweighs) return;
    const index = this.appliedIndex;
    const term = storage.getTerm(index);
    const membership = this.memberships.getAt(index);
    if (term === null || !membership) return;
    const state = stateMachine.createSnapshot();
    const bytes = encodeSnapshot({index, term, membership, state});
    this.snapshotting = true;
    try {
      await this.snapshotLock.run(() =>
        storage.saveSnapshot({index, term, membership}, bytes),
      );
    } catch (error) {
      this.handleStorageError(error);
    } finally {
      this.snapshotting = false;
    }
  }

  private async runElectionTimer(): Promise<void> {
    const {clock, random} = this.options;
    const {signal} = this.stopped;
    while (!signal.aborted) {
      if (this.leadership) {
        this.checkQuorum();
        this.proposals.expire();
        await clock.sleep(HEARTBEAT_MS, signal);
        continue;
      }
      const startsAt = this.timerStartedAt + this.electionTimeoutMs;
      const leftMs = startsAt - clock.monotonic();
      if (leftMs > 0) {
        await clock.sleep(leftMs, signal);
        continue;
      }
      this.resetElectionTimer();
      const startedAt = this.timerStartedAt;
      await this.campaign({transfer: false});
      // Changed if another candidate got this member's vote meanwhile.
      if (this.timerStartedAt !== startedAt || !this.isVoter()) continue;
      this.timerStartedAt = clock.monotonic();
      const doublings = Math.max(0, ++this.lostElections - MAX_QUICK_RETRIES);
      const scaleMs = ELECTION_RETRY_MS * 2 ** doublings;
      this.electionTimeoutMs =
        Math.min(ELECTION_TIMEOUT_MS, scaleMs) * (0.25 + random());
    }
  }

  /** Restarts the time after which this member starts an election. */
  private resetElectionTimer(): void {
    this.timerStartedAt = this.options.clock.monotonic();
    this.electionTimeoutMs = this.drawElectionTimeout();
  }

  private drawElectionTimeout(): number {
    return ELECTION_TIMEOUT_MS * (1 + this.options.random() / 2);
  }

  private checkQuorum(): void {
    const {clock, logger, group} = this.options;
    const now = clock.monotonic();
    const since = Math.max(this.leaderSince, this.membershipChangedAt);
    if (now - since < ELECTION_TIMEOUT_MS) return;
    if (now - this.findMajorityContactAt() < ELECTION_TIMEOUT_MS) return;
    logger.warn('Steps down: no majority of voters reachable.', {
      group,
      term: this.term,
    });
    this.resetElectionTimer();
    this.follow(null);
  }

  /**
   * Returns the latest time at or after which each member of some majority,
   * this member included, was in contact.
   */
  private findMajorityContactAt(): number {
    const now = this.options.clock.monotonic();
    return this.findMajority(progress => progress.lastContactAt, now);
  }

  /** Returns the highest value that a majority of the voters reaches. */
  private findMajority(
    getValue: (progress: PeerProgress) => number,
    ownValue: number,
  ): number {
    const {leadership, self} = this;
    const values = (this.membership?.voters ?? []).map(voter => {
      if (voter.incarnation === self.incarnation) return ownValue;
      const progress = leadership?.get(voter);
      return progress ? getValue(progress) : -Infinity;
    });
    return findMajorityValue(values);
  }

  private async campaign({transfer}: {transfer: boolean}): Promise<void> {
    const role = this.role.machine.current;
    const paused = this.options.clock.monotonic() < this.pausedUntil;
    if (this.campaigning || paused || !this.isVoter()) return;
    if (role === 'leader' || role === 'failed') return;
    this.campaigning = true;
    try {
      this.currentLeader = null;
      await this.runElection(transfer);
    } catch (error) {
      this.logFailure(error);
    } finally {
      this.campaigning = false;
    }
  }

  private async runElection(transfer: boolean): Promise<void> {
    const expected = this.term + 1;
    if (!transfer && !(await this.requestVotes(expected, {preVote: true}))) {
      return;
    }
    const started = await this.runWithStorage(async () => {
      const hasLeader = this.hasLiveLeader() && !transfer;
      if (this.term !== expected - 1 || hasLeader || this.leadership)
        return false;
      const vote = {term: expected, votedFor: this.options.name};
      await this.options.storage.saveHardState(vote);
      this.votedAt = this.options.clock.monotonic();
      this.role.send('campaign');
      return true;
    });
    if (!started) return;
    if (await this.requestVotes(expected, {transfer}))
      await this.becomeLeader(expected);
  }

  private async requestVotes(
    term: number,
    {preVote = false, transfer = false},
  ): Promise<boolean> {
    const {storage, name, group} = this.options;
    const {lastIndex} = storage;
    const lastTerm = storage.getTerm(lastIndex) ?? 0;
    const request = {group, term, candidate: name, lastIndex, lastTerm};
    return collectVotes({
      voters: this.membership?.voters ?? [],
      self: this.self,
      getPeer: this.options.getPeer,
      request: {...request, preVote, transfer},
      onLaterTerm: later => {
        void this.observeTerm(later).catch(error => this.logFailure(error));
      },
    });
  }

  private async becomeLeader(term: number): Promise<void> {
    const {storage, clock, name, logger, group} = this.options;
    const leadership = await this.runWithStorage(async () => {
      const isCandidate = this.role.machine.current === 'candidate';
      if (this.term !== term || !isCandidate) return null;
      const startIndex = storage.lastIndex + 1;
      await this.append([{index: startIndex, term, command: null}]);
      this.role.send('win');
      this.lostElections = 0;
      this.currentLeader = name;
      const serve = (progress: PeerProgress) => this.servePeer(progress, term);
      const created = new Leadership({term, startIndex, clock, serve});
      for (const member of this.contacts.knownSuccessors) {
        created.knownSuccessors.set(formatMember(member), member);
      }
      this.leadership = created;
      return created;
    });
    if (!leadership) return;
    logger.info('Becomes leader.', {group, term});
    this.servePeers();
    this.advanceCommit();
    this.options.onChange?.();
    void this.repairMembership(leadership);
  }

  private servePeer(progress: PeerProgress, term: number): Promise<void> {
    const {group, name, storage, clock} = this.options;
    return replicateToPeer(
      {
        group,
        leader: name,
        term,
        storage,
        clock,
        peer: this.options.getPeer(progress.member.name),
        getCommitIndex: () => this.commitIndex,
        getHeartbeatMs: () =>
          this.membership && includesMember(this.membership, progress.member)
            ? HEARTBEAT_MS
            : LEARNER_HEARTBEAT_MS,
        listSilent: () => this.listSilent(REACHABLE_MS),
        listKnownSuccessors: () => this.listKnownSuccessors(),
        onProgress: () => this.advanceCommit(),
        onLaterTerm: later => {
          void this.observeTerm(later).catch(error => this.logFailure(error));
        },
      },
      progress,
    );
  }

  /** Replicates to all voters and learners except this member. */
  private servePeers(): void {
    const {leadership, membership, self} = this;
    if (!leadership || !membership) return;
    const learners = [...leadership.learners.values()];
    const others = [...membership.voters, ...learners].filter(
      member => member.incarnation !== self.incarnation,
    );
    leadership.servePeers(others, this.options.storage.lastIndex + 1);
  }

  /**
   * Lists the voters with the time since their last contact with this leader,
   * or, if there was none yet, with the leaders that it followed.
   */
  private listVoters(): VoterView[] {
    const {leadership, contacts, self} = this;
    const now = this.options.clock.monotonic();
    return (this.membership?.voters ?? []).map(member => {
      if (isSameMember(member, self)) return {member, sinceContactMs: 0};
      const earlierAt =
        contacts.getLastContactAt(member, this.leaderSince) ?? this.leaderSince;
      const contactAt = leadership?.get(member)?.lastContactAt ?? -Infinity;
      return {member, sinceContactMs: now - Math.max(contactAt, earlierAt)};
    });
  }

  /** Lists the voters without contact for longer than `ms`. */
  private listSilent(ms: number): SilentMember[] {
    return this.listVoters()
      .filter(({sinceContactMs}) => sinceContactMs > ms)
      .map(({member, sinceContactMs}) => ({
        ...member,
        silentMs: sinceContactMs,
      }));
  }

  /**
   * Lists the listed members without a vote whose start explains a loss that
   * was repaired; the others are no evidence of a loss anyway.
   */
  private listKnownSuccessors(): Member[] {
    const {leadership, membership} = this;
    if (!leadership || leadership.knownSuccessors.size === 0) return [];
    const listed = new Set(this.options.listHosts().map(({name}) => name));
    return [...leadership.knownSuccessors.values()].filter(
      member =>
        listed.has(member.name) &&
        !(membership && includesMember(membership, member)),
    );
  }

  private async repairMembership(leadership: Leadership): Promise<void> {
    const {group, listHosts, voterCount, clock, logger} = this.options;
    await repairMembership({
      group,
      self: this.self,
      listHosts,
      voterCount,
      spareCount: this.options.spareCount ?? SPARE_COUNT,
      clock,
      logger,
      leadership,
      replaceAfterMs: this.options.replaceAfterMs ?? REPLACE_AFTER_MS,
      succeededAfterMs: this.options.succeededAfterMs ?? SUCCEEDED_AFTER_MS,
      getPeer: this.options.getPeer,
      listVoters: () => this.listVoters(),
      getFirstIndex: () => this.options.storage.firstIndex,
      servePeers: () => this.servePeers(),
      change: membership => this.changeMembership(membership),
    }).catch(error => this.logFailure(error));
  }

  /**
   * Commits a membership that differs from the current one by one voter. Fails
   * while the previous change, or the entry that opened the term, is not
   * committed.
   */
  private async changeMembership(membership: Membership): Promise<boolean> {
    const {leadership} = this;
    if (!leadership || this.memberships.lastChangeIndex > this.commitIndex) {
      return false;
    }
    if (this.commitIndex < leadership.startIndex) return false;
    const reply = await this.enqueue({command: null, membership});
    return reply.type === 'committed';
  }

  private refuse(): ProposeReply {
    const leader = this.leader === this.options.name ? null : this.leader;
    return {type: 'not-leader', leader};
  }

  private enqueue(proposal: Proposal<C>): Promise<ProposeReply> {
    const reply = this.proposals.push(proposal);
    this.appendWake.notify();
    return reply;
  }

  /** Appends queued proposals to the log, a batch per sync. */
  private async runAppender(): Promise<void> {
    while (!this.stopped.signal.aborted) {
      if (this.proposals.waiting === 0) await this.appendWake.wait();
      if (this.stopped.signal.aborted) return;
      try {
        await this.appendQueued();
      } catch (error) {
        this.proposals.fail();
        this.logFailure(error);
      }
    }
  }

  private async appendQueued(): Promise<void> {
    const {storage} = this.options;
    await this.runWithStorage(async () => {
      const {leadership} = this;
      if (!leadership) return this.proposals.fail();
      const {term} = leadership;
      const entries = this.proposals.take(storage.lastIndex + 1, term);
      await this.append(entries);
      if (entries.some(entry => entry.membership)) this.servePeers();
    });
    this.leadership?.wakePeers();
    this.advanceCommit();
  }

  private advanceCommit(): void {
    const {leadership} = this;
    const {storage} = this.options;
    if (!leadership) return;
    const index = this.findMajority(
      progress => progress.matchIndex,
      storage.lastIndex,
    );
    if (storage.getTerm(index) !== leadership.term) return;
    if (index <= this.commitIndex) return;
    this.commitTo(index);
    // The others act on an entry only once they know that it is committed.
    leadership.wakePeers();
  }

  /** Transfers leadership, before this member stops, to another voter. */
  private async transferLeadership(): Promise<void> {
    const {leadership, membership} = this;
    if (!leadership || !membership || !this.isLeader()) return;
    leadership.isTransferring = true;
    await transferLeadership({
      ...this.options,
      term: leadership.term,
      listSuccessors: since =>
        leadership.listSuccessors(membership.voters, since),
    });
  }
}
