/** Checks a simulated group at each step while its hosts are replaced. */
import type {Member} from '../../protocol/replication.ts';
import {formatMember} from './member.ts';
import {
  countBorneLosses,
  hasMajority,
  type LogPosition,
  type SimulatedDisk,
} from './simulated_disks.ts';
import type {SimulatedGroup} from './simulated_group.ts';
import type {SimulatedHost} from './simulated_host.ts';
import {isDiskLoss, type LossKind} from './turnover_setting.ts';
import {VoterChanges} from './voter_changes.ts';

/** Without a majority and a leader for this long, the group is lost. */
const LOST_AFTER_MS = 15_000;

/** The time within which a proposal in a calm stretch is committed. */
const COMMIT_MS = 2_000;

/** One loss of a host. */
export interface Loss {
  readonly kind: LossKind;
  readonly startedAt: number;
  readonly victim: Member;
  readonly wasLeader: boolean;
  readonly wasVoter: boolean;
  /** How many losses were borne before. */
  readonly borneBefore: number;
  successor: string | null;
  successorAt: number | null;
  restoredAt: number | null;
  /** When there was a leader that commits; `null` until then. */
  leaderAt: number | null;
  isOver: boolean;
  /** How often voters changed for it. */
  changes: number;
}

/** A proposed command. */
export interface TrackedProposal {
  readonly startedAt: number;
  isCommitted: boolean;
}

export interface TurnoverWatchOptions {
  readonly group: SimulatedGroup;
  readonly toleratedLosses: number;
  /** How many losses the group bears with all its voters. */
  readonly fullBorne: number;
}

/** Tracks losses and proposals. */
export class TurnoverWatch {
  readonly losses: Loss[] = [];
  readonly changes: VoterChanges;
  /** What did not hold, with the time. */
  readonly failures: string[] = [];
  /** When proposals were made that were not committed in time in calm. */
  readonly lateProposals: number[] = [];
  /** The most losses that are borne at this moment. */
  borne = 0;
  private newest: LogPosition = {index: 0, term: 0};
  private calmSince = 0;
  private okSince = 0;
  private isBearing = true;
  private readonly open = new Set<TrackedProposal>();

  constructor(private readonly options: TurnoverWatchOptions) {
    this.changes = new VoterChanges(this.losses);
    this.calmSince = this.now;
    this.okSince = this.now;
    this.changes.update(this.listDisks(), {isCounted: false});
  }

  /** Whether the majority is lost for good. */
  get isLost(): boolean {
    return this.now - this.okSince >= LOST_AFTER_MS;
  }

  /** Whether each loss that is over has been repaired. */
  get isRestored(): boolean {
    return this.losses.every(
      ({restoredAt, successorAt, leaderAt, wasLeader}) =>
        (successorAt === null || restoredAt !== null) &&
        (!wasLeader || leaderAt !== null),
    );
  }

  /** Records a loss that begins. */
  beginLoss(kind: LossKind, host: SimulatedHost): Loss {
    const leader = this.findLeader();
    const {name, incarnation} = host;
    const voters = leader?.replica?.membership?.voters ?? [];
    const victim = {name, incarnation};
    const loss: Loss = {
      kind,
      startedAt: this.now,
      victim,
      wasLeader: leader === host,
      wasVoter: voters.map(formatMember).includes(formatMember(victim)),
      borneBefore: Math.max(0, this.borne),
      successor: null,
      successorAt: null,
      restoredAt: null,
      leaderAt: null,
      isOver: false,
      changes: 0,
    };
    this.losses.push(loss);
    this.calmSince = Infinity;
    return loss;
  }

  /** Records the start of the host that replaces a lost one. */
  recordSuccessor(loss: Loss, name: string, startedAt: number): void {
    loss.successor = name;
    loss.successorAt = startedAt;
  }

  /** Records that a loss does not count any more. */
  finishLoss(loss: Loss): void {
    loss.isOver = true;
    if (this.losses.every(({isOver}) => isOver)) this.calmSince = this.now;
  }

  /** Records a proposal that is made. */
  beginProposal(): TrackedProposal {
    const proposal = {startedAt: this.now, isCommitted: false};
    this.open.add(proposal);
    return proposal;
  }

  /** Records that a host has acknowledged a proposal. */
  recordCommit(proposal: TrackedProposal, host: SimulatedHost): void {
    proposal.isCommitted = true;
    this.open.delete(proposal);
    const index = host.replica?.applied ?? 0;
    const term = host.storage?.getTerm(index) ?? null;
    if (term === null || index <= this.newest.index) return;
    this.newest = {index, term};
  }

  /** Returns the leader that can be reached, if there is one. */
  findLeader(): SimulatedHost | undefined {
    return this.options.group
      .listReachable()
      .find(({replica}) => replica?.isLeader());
  }

  /** Checks the group. */
  check(): void {
    const disks = this.listDisks();
    const leader = this.findLeader();
    this.checkBorne(disks);
    if (leader && (leader.replica?.applied ?? 0) < this.newest.index) {
      this.recordFailure(`${leader.name} leads without an acknowledged entry`);
    }
    if (leader || hasMajority(disks)) this.okSince = this.now;
    this.changes.update(disks, {isCounted: true});
    for (const loss of this.losses) this.updateLoss(loss, leader);
    this.checkProposals();
  }

  private get now(): number {
    return this.options.group.clock.monotonic();
  }

  private recordFailure(message: string): void {
    this.failures.push(`${Math.round(this.now)} ms: ${message}`);
  }

  private listDisks(): SimulatedDisk[] {
    return [...this.options.group.hosts.values()].flatMap(host =>
      host.storage ? [{member: host, log: host.storage}] : [],
    );
  }

  /**
   * Checks that as many losses are borne at this moment as are tolerated, or
   * as the number of voters allows beside the disks that still count as lost.
   */
  private checkBorne(disks: readonly SimulatedDisk[]): void {
    const {toleratedLosses, fullBorne} = this.options;
    const {newest} = this;
    this.borne = countBorneLosses(disks, {newest, limit: fullBorne});
    const lost = this.losses.filter(
      ({kind, isOver}) => !isOver && isDiskLoss(kind),
    );
    const needed = Math.min(toleratedLosses, fullBorne - lost.length);
    const wasBearing = this.isBearing;
    this.isBearing = this.borne >= needed;
    if (wasBearing && !this.isBearing) {
      this.recordFailure(`bears ${this.borne} more losses, not ${needed}`);
    }
  }

  private updateLoss(loss: Loss, leader: SimulatedHost | undefined): void {
    if (loss.successorAt !== null && this.borne >= loss.borneBefore) {
      loss.restoredAt ??= this.now;
    }
    if (loss.wasLeader && leader && this.now > loss.startedAt) {
      loss.leaderAt ??= this.now;
    }
  }

  private checkProposals(): void {
    for (const proposal of this.open) {
      const {startedAt} = proposal;
      if (this.now - startedAt <= COMMIT_MS) continue;
      this.open.delete(proposal);
      if (startedAt >= this.calmSince) this.lateProposals.push(startedAt);
    }
  }
}
