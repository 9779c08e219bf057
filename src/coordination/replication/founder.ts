/**
 * One of the hosts that agree on the first voters of a group.
 *
 * Its votes are on disk before it answers, and no proposal is chosen without those
 * of a majority of the founders. Only the first start of the whole system makes a
 * founder: one that has lost its disk votes no more, so its new disk cannot stand
 * in for a vote that it has forgotten.
 */
import type {
  Ballot,
  FoundingReply,
  FoundingRequest,
  FoundingVote,
} from '../../protocol/founding.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {FileSystem} from '../../state/files/file_system.ts';
import {
  loadFounderRecord,
  saveFounderRecord,
  type FounderRecord,
} from '../../state/founding/founder_file.ts';
import type {LogStorage} from '../../state/log/log_storage.ts';
import {createMutex} from '../mutex.ts';

/** Calls the founder on another host. */
export type AskFounder = (
  name: string,
  request: FoundingRequest,
  timeoutMs: number,
) => Promise<FoundingReply>;

export interface OpenFounderOptions {
  readonly group: string;
  readonly name: string;
  /** The founders that the settings name at the first start, else none. */
  readonly founders: readonly string[];
  /** The log of this host. */
  readonly storage: Pick<LogStorage, 'incarnation' | 'snapshot' | 'lastIndex'>;
  readonly files: FileSystem;
  /** The file for the votes. */
  readonly path: string;
  readonly ask: AskFounder;
  readonly logger: Logger;
}

/** The votes of one founder. */
export class Founder {
  private readonly lock = createMutex();

  private constructor(
    private readonly options: OpenFounderOptions,
    private record: FounderRecord,
  ) {}

  /** Opens the votes of this host; `null` if it is no founder. */
  static async open(options: OpenFounderOptions): Promise<Founder | null> {
    const {group, name, founders, storage, logger} = options;
    const {incarnation, snapshot, lastIndex} = storage;
    const loaded = await loadFounderRecord(options);
    if (!loaded.ok) {
      const reason = loaded.error;
      logger.error('Does not vote as a founder: its votes are unreadable.', {
        group,
        reason,
      });
      return null;
    }
    const record = loaded.value;
    if (record && record.incarnation !== incarnation) {
      logger.warn('Does not vote as a founder: its log was replaced.', {group});
      return null;
    }
    if (record) return new Founder(options, record);
    const isEmpty = snapshot === null && lastIndex === 0;
    if (!isEmpty || !founders.includes(name)) return null;
    const created = {
      incarnation,
      founders: [...founders],
      promised: null,
      vote: null,
    };
    await saveFounderRecord(options, created);
    logger.info('Becomes a founder.', {group, founders});
    return new Founder(options, created);
  }

  /** The names of all founders, this host's included. */
  get founders(): readonly string[] {
    return this.record.founders;
  }

  /** The latest ballot that was granted. */
  get promised(): Ballot | null {
    return this.record.promised;
  }

  /** Asks a founder, possibly this one, for its vote. */
  async ask(
    name: string,
    request: FoundingRequest,
    timeoutMs: number,
  ): Promise<FoundingReply> {
    if (name === this.options.name) return this.handle(request);
    return this.options.ask(name, request, timeoutMs);
  }

  /** Handles the call of a founder. Rejects if the disk cannot be written. */
  handle(request: FoundingRequest): Promise<FoundingReply> {
    return this.lock.run(async () => {
      const {promised, founders} = this.record;
      const isLate = promised && compareBallots(request.ballot, promised) < 0;
      const isSame =
        request.group === this.options.group &&
        request.founders.join() === founders.join();
      const granted = isSame && !isLate;
      if (granted) await this.grant(request);
      const {record} = this;
      return {granted, promised: record.promised, vote: record.vote};
    });
  }

  private async grant({ballot, membership}: FoundingRequest): Promise<void> {
    const {group, logger} = this.options;
    const vote = membership ? {ballot, membership} : this.record.vote;
    const next = {...this.record, promised: ballot, vote};
    await saveFounderRecord(this.options, next);
    this.record = next;
    if (!membership) return;
    const voters = membership.voters.map(({name}) => name);
    logger.info('Votes for the first voters.', {group, voters, ...ballot});
  }
}

/** Answers for a host that is no founder. */
export const NO_FOUNDER_REPLY: FoundingReply = {
  granted: false,
  promised: null,
  vote: null,
};

/** Returns a negative number if `a` is earlier, 0 if they are the same. */
export function compareBallots(a: Ballot, b: Ballot): number {
  if (a.round !== b.round) return a.round - b.round;
  if (a.proposer === b.proposer) return 0;
  return a.proposer < b.proposer ? -1 : 1;
}

/** Returns the vote of the latest ballot; `null` if there is none. */
export function findLatestVote(
  replies: readonly FoundingReply[],
): FoundingVote | null {
  const votes = replies.flatMap(({vote}) => (vote ? [vote] : []));
  votes.sort((a, b) => compareBallots(b.ballot, a.ballot));
  return votes[0] ?? null;
}
