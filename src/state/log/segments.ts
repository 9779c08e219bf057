/** The segment files of a log, and their replay when the log is opened. */
import {join} from 'node:path';
import type {LogEntry} from '../../protocol/replication.ts';
import {CorruptLogError} from '../errors.ts';
import type {FileSystem} from '../files/file_system.ts';
import {readFrames} from './frames.ts';
import type {HardState} from './log_storage.ts';

/** The body of a frame in a segment. */
export type LogRecord =
  | {
      readonly type: 'hard';
      readonly term: number;
      readonly votedFor: string | null;
      /** If present, voids all earlier entries; the next index is one higher. */
      readonly resetTo?: number;
    }
  | {readonly type: 'entries'; readonly entries: readonly LogEntry[]};

export interface Segment {
  readonly sequence: number;
  /** The total size of its valid frames. */
  bytes: number;
  /** The highest entry index in the segment; 0 if it has no entries. */
  lastIndex: number;
}

/** The content of all segments, merged in order. */
export interface ReplayedLog {
  hardState: HardState;
  /** The index before the first entry. */
  baseIndex: number;
  entries: LogEntry[];
  /** Bytes of frames with entries that the snapshot does not cover. */
  tailBytes: number;
  segments: Segment[];
}

export interface ReplayOptions {
  readonly files: FileSystem;
  readonly folder: string;
  readonly sequences: readonly number[];
  /** The last entry of the snapshot; gaps up to it are not corruption. */
  readonly snapshotIndex: number;
}

/** Returns the file name of a segment. */
export function formatSegment(sequence: number): string {
  return `${String(sequence).padStart(10, '0')}.log`;
}

/** Returns the sequence numbers of the segment files in `names`, sorted. */
export function listSegments(names: readonly string[]): number[] {
  return names
    .filter(name => /^\d{10}\.log$/.test(name))
    .map(name => Number(name.slice(0, 10)))
    .sort((a, b) => a - b);
}

/** Replays all segments; throws `CorruptLogError` if one is damaged. */
export async function replaySegments(
  options: ReplayOptions,
): Promise<ReplayedLog> {
  const {files, folder, sequences, snapshotIndex} = options;
  const replayed: ReplayedLog = {
    hardState: {term: 0, votedFor: null},
    baseIndex: 0,
    entries: [],
    tailBytes: 0,
    segments: [],
  };
  for (const sequence of sequences) {
    const path = join(folder, formatSegment(sequence));
    const bytes = (await files.read(path)) ?? Buffer.alloc(0);
    const {frames, end, state} = readFrames(bytes);
    const isLast = sequence === sequences.at(-1);
    if (state === 'damaged' || (state === 'torn' && !isLast)) {
      throw new CorruptLogError(
        `Could not read "${path}" at byte ${end}: its checksum is wrong`,
      );
    }
    const segment = {sequence, bytes: end, lastIndex: 0};
    replayed.segments.push(segment);
    let start = 0;
    for (const frame of frames) {
      const record = frame.body as LogRecord;
      applyRecord(replayed, record, {snapshotIndex, path});
      if (record.type === 'entries') {
        const last = record.entries.at(-1)?.index ?? 0;
        segment.lastIndex = Math.max(segment.lastIndex, last);
        if (last > snapshotIndex) replayed.tailBytes += frame.end - start;
      }
      start = frame.end;
    }
  }
  if (replayed.baseIndex > snapshotIndex) {
    throw new CorruptLogError(
      `Could not read the log in "${folder}": entry ${replayed.baseIndex} is missing`,
    );
  }
  return replayed;
}

function applyRecord(
  replayed: ReplayedLog,
  record: LogRecord,
  {snapshotIndex, path}: {snapshotIndex: number; path: string},
): void {
  if (record.type === 'hard') {
    replayed.hardState = {term: record.term, votedFor: record.votedFor};
    if (record.resetTo === undefined) return;
    replayed.entries = [];
    replayed.baseIndex = record.resetTo;
    return;
  }
  const first = record.entries[0];
  if (!first) return;
  const lastIndex = replayed.baseIndex + replayed.entries.length;
  const isFirst = replayed.entries.length === 0 && replayed.baseIndex === 0;
  if (first.index > lastIndex + 1 || first.index <= replayed.baseIndex) {
    // Compaction may have removed the entries in between.
    if (!isFirst && first.index > snapshotIndex + 1) {
      throw new CorruptLogError(
        `Could not read "${path}": entry ${lastIndex + 1} is missing`,
      );
    }
    replayed.entries = [];
    replayed.baseIndex = first.index - 1;
  }
  replayed.entries.length = first.index - replayed.baseIndex - 1;
  for (const entry of record.entries) replayed.entries.push(entry);
}
