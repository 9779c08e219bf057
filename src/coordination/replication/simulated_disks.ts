/** What the disks of a simulated group are worth after further losses. */
import type {Member} from '../../protocol/replication.ts';
import type {LogStorage} from '../../state/log/log_storage.ts';
import {describeLog} from '../../state/log/recover_log.ts';
import {countMajority, formatMember} from './member.ts';

/** The position of an entry in the log. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/** A disk that is not lost, whether its host runs or not. */
export interface SimulatedDisk {
  readonly member: Member;
  /** Holds what is synced; an entry that is being written is not in it yet. */
  readonly log: LogStorage;
}

/** What a replica that restarts from a disk knows. */
interface DiskSummary {
  readonly id: string;
  readonly voters: readonly string[];
  readonly last: LogPosition;
  readonly hasAcknowledged: boolean;
}

/** The voters according to each log, while its ends are the same. */
const votersByLog = new WeakMap<
  LogStorage,
  {readonly key: string; readonly voters: readonly string[]}
>();

/**
 * Counts how many more disks may be lost at this moment, up to `limit`.
 *
 * That is the greatest number n for which this holds: whichever n of the disks
 * are erased, while all other hosts lose power and restart with what their
 * disks have synced, some host can win an election, and each host that can win
 * one has the newest acknowledged entry, and thus all before it. Returns -1 if
 * not even the loss of power of all hosts is borne.
 */
export function countBorneLosses(
  disks: readonly SimulatedDisk[],
  {newest, limit}: {newest: LogPosition; limit: number},
): number {
  const summaries = disks.map(disk => describeDisk(disk, newest));
  let borne = -1;
  while (borne < limit && isBorne(summaries, borne + 1)) borne++;
  return borne;
}

/** Whether some host can win an election if all hosts lose power. */
export function hasMajority(disks: readonly SimulatedDisk[]): boolean {
  const newest = {index: 0, term: 0};
  const summaries = disks.map(disk => describeDisk(disk, newest));
  return summaries.some(disk => canWin(disk, summaries));
}

function isBorne(disks: readonly DiskSummary[], losses: number): boolean {
  if (losses > 0) {
    return disks.every((_, index) =>
      isBorne(
        disks.filter((_disk, other) => other !== index),
        losses - 1,
      ),
    );
  }
  const winners = disks.filter(disk => canWin(disk, disks));
  return (
    winners.length > 0 && winners.every(({hasAcknowledged}) => hasAcknowledged)
  );
}

function canWin(disk: DiskSummary, disks: readonly DiskSummary[]): boolean {
  if (!disk.voters.includes(disk.id)) return false;
  const granting = disks.filter(
    ({id, voters, last}) =>
      disk.voters.includes(id) &&
      voters.length > 0 &&
      isAtLeast(disk.last, last),
  );
  return granting.length >= countMajority(disk.voters);
}

/** Whether a log that ends with `a` is as up to date as one with `b`. */
function isAtLeast(a: LogPosition, b: LogPosition): boolean {
  return a.term === b.term ? a.index >= b.index : a.term > b.term;
}

function describeDisk(
  {member, log}: SimulatedDisk,
  newest: LogPosition,
): DiskSummary {
  const {lastIndex} = log;
  const term = log.getTerm(lastIndex) ?? 0;
  const snapshotIndex = log.snapshot?.index ?? -1;
  const key = [lastIndex, term, snapshotIndex].join();
  const known = votersByLog.get(log);
  const voters =
    known?.key === key
      ? known.voters
      : describeLog(log).voters.map(formatMember);
  votersByLog.set(log, {key, voters});
  return {
    id: formatMember(member),
    voters,
    last: {index: lastIndex, term},
    hasAcknowledged:
      snapshotIndex >= newest.index ||
      log.getTerm(newest.index) === newest.term,
  };
}
