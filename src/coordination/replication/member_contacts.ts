/**
 * What a follower knows of the contact and the losses of the other members.
 *
 * A leader tells its followers which voters are silent and for how long, and
 * which new members explain a loss that was repaired. The next leader goes on
 * from there: a voter that was lost under one leader would otherwise count as
 * present again under the next one, and one new member as evidence of two
 * losses.
 */
import type {Member, SilentMember} from '../../protocol/replication.ts';
import {formatMember} from './member.ts';

/**
 * The longest time without a leader that counts as silence of the others: a
 * member that was without contact for longer may have been cut off itself.
 */
const MAX_GAP_MS = 3_000;

/** The last report of a leader, or this member's own view as a leader. */
interface ContactReport {
  /** When it was received, on the monotonic clock. */
  readonly receivedAt: number;
  readonly silentMs: ReadonlyMap<string, number>;
  readonly knownSuccessors: readonly Member[];
}

/** Holds the last report. */
export class MemberContacts {
  private report: ContactReport | null = null;

  /** Replaces the report; members that it does not list were in contact. */
  record(
    silent: readonly SilentMember[],
    knownSuccessors: readonly Member[],
    receivedAt: number,
  ): void {
    const silentMs = new Map(
      silent.map(each => [formatMember(each), each.silentMs]),
    );
    this.report = {receivedAt, silentMs, knownSuccessors};
  }

  /** The members whose start explains a loss that was repaired. */
  get knownSuccessors(): readonly Member[] {
    return this.report?.knownSuccessors ?? [];
  }

  /**
   * Returns when a member was last heard of before this member was elected at
   * `electedAt`, both on the monotonic clock, or `null` without a report.
   */
  getLastContactAt(member: Member, electedAt: number): number | null {
    const {report} = this;
    if (!report) return null;
    const silentMs = report.silentMs.get(formatMember(member)) ?? 0;
    return Math.max(report.receivedAt, electedAt - MAX_GAP_MS) - silentMs;
  }
}
