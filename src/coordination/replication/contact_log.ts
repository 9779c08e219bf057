/** Logs when a voter stops answering the leader, and when it answers again. */
import type {Logger} from '../../protocol/logger.ts';
import {formatMember} from './member.ts';
import type {VoterView} from './plan_membership.ts';

export interface ContactLogOptions {
  readonly group: string;
  readonly logger: Logger;
  /** A voter without a reply for longer than this counts as silent. */
  readonly silentAfterMs: number;
}

/** Remembers which voters are silent, so that each change is logged once. */
export class ContactLog {
  private readonly silent = new Set<string>();

  constructor(private readonly options: ContactLogOptions) {}

  /**
   * Records the voters as seen by a leader that has led for `leadingMs`.
   */
  record(voters: readonly VoterView[], leadingMs: number): void {
    const {group, logger, silentAfterMs} = this.options;
    for (const {member, sinceContactMs} of voters) {
      const voter = formatMember(member);
      const isSilent = sinceContactMs > silentAfterMs;
      if (isSilent === this.silent.has(voter)) continue;
      const fields = {
        group,
        voter,
        silentMs: Math.round(sinceContactMs),
        leadingMs: Math.round(leadingMs),
        voters: voters.length,
        silent: voters.filter(each => each.sinceContactMs > silentAfterMs)
          .length,
      };
      if (isSilent) {
        this.silent.add(voter);
        logger.warn('A voter does not answer.', fields);
      } else {
        this.silent.delete(voter);
        logger.info('A voter answers again.', fields);
      }
    }
  }
}
