/**
 * Watches one group from one of its members: reports metrics, and logs when no
 * leader has been known for long and whether a majority of the voters answers.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {Member} from '../../protocol/replication.ts';
import {startPeriodicTask} from '../periodic_task.ts';
import {
  computeToleratedLosses,
  listVotersInContact,
  type GroupStatus,
  type LeaderStatus,
} from './group_status.ts';
import {countMajority, formatMember, isSameMember} from './member.ts';
import type {ReplicaPeer} from './peer_replicator.ts';

/** The interval between two checks. */
const CHECK_INTERVAL_MS = 1_000;

/**
 * The time without a leader after which the voters are asked: longer than
 * elections take.
 */
const LEADERLESS_AFTER_MS = 5_000;

/** The interval at which the voters are asked, and the metric follows. */
const ASK_INTERVAL_MS = 5_000;

/** The interval at which a lasting condition is logged again. */
const LOG_INTERVAL_MS = 60_000;

/** The timeout for a voter's description of its replica. */
const DESCRIBE_TIMEOUT_MS = 500;

const MS_PER_SECOND = 1_000;

export interface GroupWatchOptions {
  readonly getStatus: () => GroupStatus;
  readonly getPeer: (name: string) => Pick<ReplicaPeer, 'describeReplica'>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Starts the watch; dispose it to stop. */
export function startGroupWatch(options: GroupWatchOptions): AsyncDisposable {
  const watch = new GroupWatch(options);
  return startPeriodicTask({
    clock: options.clock,
    intervalMs: CHECK_INTERVAL_MS,
    step: () => watch.check(),
    onError: ({message: reason}) =>
      options.logger.warn('Could not check the group.', {reason}),
  });
}

class GroupWatch {
  /** When a leader was known last, on the monotonic clock. */
  private leaderKnownAt: number;
  private askedAt = -Infinity;
  private loggedAt = -Infinity;
  private isMajorityLost = false;
  /** The spare members for which a gauge is set. */
  private reportedSpares: readonly string[] = [];

  constructor(private readonly options: GroupWatchOptions) {
    this.leaderKnownAt = options.clock.monotonic();
  }

  /** Runs one check. */
  async check(): Promise<void> {
    const {getStatus, clock} = this.options;
    const status = getStatus();
    const now = clock.monotonic();
    if (status.leader !== null) {
      this.endOutage(status, now);
    } else if (
      status.voters.length > 0 &&
      now - this.leaderKnownAt >= LEADERLESS_AFTER_MS &&
      now - this.askedAt >= ASK_INTERVAL_MS
    ) {
      this.askedAt = now;
      await this.checkMajority(status, now - this.leaderKnownAt);
    }
    this.reportGauges(status);
  }

  private endOutage({group, leader}: GroupStatus, now: number): void {
    if (this.loggedAt > -Infinity) {
      this.options.logger.info('Knows a leader again.', {
        group,
        leader,
        withoutLeaderMs: Math.round(now - this.leaderKnownAt),
      });
    }
    this.leaderKnownAt = now;
    this.askedAt = -Infinity;
    this.loggedAt = -Infinity;
    this.isMajorityLost = false;
  }

  /** Asks all voters whether they run, and logs the result. */
  private async checkMajority(
    status: GroupStatus,
    withoutLeaderMs: number,
  ): Promise<void> {
    const {logger, clock} = this.options;
    const {group, voters} = status;
    const answers = await Promise.all(
      voters.map(voter => this.isAnswering(voter, status)),
    );
    const answering = voters.filter((_, index) => answers[index]);
    const isLost = answering.length < countMajority(voters);
    const hasChanged = isLost !== this.isMajorityLost;
    this.isMajorityLost = isLost;
    const now = clock.monotonic();
    if (!hasChanged && now - this.loggedAt < LOG_INTERVAL_MS) return;
    this.loggedAt = now;
    const fields = {
      group,
      withoutLeaderMs: Math.round(withoutLeaderMs),
      voters: voters.map(formatMember),
      answering: answering.map(formatMember),
    };
    if (isLost) {
      logger.error(
        'Cannot commit or confirm reads: no majority of voters answers.',
        fields,
      );
    } else {
      logger.warn(
        'Knows no leader although a majority of voters answers.',
        fields,
      );
    }
  }

  /** Whether a voter runs with the disk that has its vote. */
  private async isAnswering(
    voter: Member,
    {group, self}: GroupStatus,
  ): Promise<boolean> {
    if (isSameMember(voter, self)) return true;
    try {
      const {incarnation} = await this.options
        .getPeer(voter.name)
        .describeReplica({group}, DESCRIBE_TIMEOUT_MS);
      return incarnation === voter.incarnation;
    } catch {
      return false;
    }
  }

  private reportGauges({
    group,
    leader,
    voters,
    appliedIndex,
    leading,
  }: GroupStatus): void {
    const {metrics, clock} = this.options;
    const tags = {group};
    const set = (name: string, value: number) =>
      metrics.gauge(`group_${name}`, value, tags);
    const withoutLeaderMs = clock.monotonic() - this.leaderKnownAt;
    set('leader_known', leader === null ? 0 : 1);
    set('leads', leading ? 1 : 0);
    set('without_leader_seconds', withoutLeaderMs / MS_PER_SECOND);
    set('majority_lost', this.isMajorityLost ? 1 : 0);
    set('voters', voters.length);
    set('applied_index', appliedIndex);
    set(
      'voters_in_contact',
      leading ? listVotersInContact(leading).length : NaN,
    );
    set('tolerated_losses', leading ? computeToleratedLosses(leading) : NaN);
    set('spares', leading?.spares.length ?? NaN);
    this.reportSpares(group, leading?.spares ?? []);
  }

  private reportSpares(group: string, spares: LeaderStatus['spares']): void {
    const {metrics} = this.options;
    const lags = new Map(
      spares.map(({member, lagEntries}) => [member.name, lagEntries]),
    );
    for (const spare of this.reportedSpares) {
      if (!lags.has(spare)) lags.set(spare, NaN);
    }
    for (const [spare, lagEntries] of lags) {
      metrics.gauge('group_spare_lag_entries', lagEntries, {group, spare});
    }
    this.reportedSpares = spares.map(({member}) => member.name);
  }
}
