/** Counts the changes of voters in simulated logs, by the loss that caused them. */
import type {LogEntry, Member} from '../../protocol/replication.ts';
import type {LogStorage} from '../../state/log/log_storage.ts';
import {formatMember} from './member.ts';
import type {LogPosition, SimulatedDisk} from './simulated_disks.ts';
import {isDiskLoss} from './turnover_setting.ts';
import type {Loss} from './turnover_watch.ts';

/** Reads each change once, from whichever disk has it first. */
export class VoterChanges {
  private readonly read = new WeakMap<LogStorage, LogPosition>();
  private readonly seen = new Set<string>();
  private readonly replaced = new Set<Loss>();
  private voters: readonly Member[] = [];

  constructor(private readonly losses: readonly Loss[]) {}

  /** Reads the new entries of all disks. */
  update(
    disks: readonly SimulatedDisk[],
    {isCounted}: {isCounted: boolean},
  ): void {
    for (const {log} of disks) {
      for (const entry of this.listNew(log)) {
        const id = `${entry.index}/${entry.term}`;
        if (!entry.membership || this.seen.has(id)) continue;
        this.seen.add(id);
        if (isCounted) this.countChange(entry.membership.voters);
        this.voters = entry.membership.voters;
      }
    }
  }

  private listNew(log: LogStorage): LogEntry[] {
    const {lastIndex} = log;
    const last = this.read.get(log);
    if (last?.index === lastIndex && log.getTerm(lastIndex) === last.term) {
      return [];
    }
    this.read.set(log, {index: lastIndex, term: log.getTerm(lastIndex) ?? 0});
    const isContinued = last && log.getTerm(last.index) === last.term;
    return log.read(isContinued ? last.index + 1 : log.firstIndex, lastIndex);
  }

  private countChange(voters: readonly Member[]): void {
    const added = listMissing(voters, this.voters);
    const removed = listMissing(this.voters, voters);
    const loss = this.findCause(added, removed);
    if (loss) loss.changes++;
    if (loss && added.length > 0) this.replaced.add(loss);
  }

  /**
   * Finds the loss of a removed voter; the loss without a replacement yet whose
   * successor is added; or the earliest loss of a voter for good without one, as
   * a spare may take the place. Otherwise it is the latest loss.
   */
  private findCause(
    added: readonly Member[],
    removed: readonly Member[],
  ): Loss | undefined {
    const latest = [...this.losses].reverse();
    const ids = removed.map(formatMember);
    const names = added.map(({name}) => name);
    return (
      latest.find(({victim}) => ids.includes(formatMember(victim))) ??
      latest.find(
        loss =>
          !this.replaced.has(loss) &&
          (names.includes(loss.victim.name) ||
            names.includes(loss.successor ?? '')),
      ) ??
      this.losses.find(
        loss =>
          names.length > 0 &&
          loss.wasVoter &&
          isDiskLoss(loss.kind) &&
          !this.replaced.has(loss),
      ) ??
      latest[0]
    );
  }
}

function listMissing(
  from: readonly Member[],
  others: readonly Member[],
): Member[] {
  const ids = others.map(formatMember);
  return from.filter(member => !ids.includes(formatMember(member)));
}
