/**
 * A log in a folder of segment files and a snapshot file.
 *
 * Entries and the hard state are frames of the same segments, so each write is
 * one append and one sync. Entries are replaced by appending new ones that
 * supersede them, so synced data is never rewritten. A torn frame at the end
 * of the last segment is truncated; any other invalid frame is reported as
 * `CorruptLogError`, and the caller must then quarantine the folder.
 */
import {join} from 'node:path';
import {createIdentifier} from '../../protocol/identifiers.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {LogEntry} from '../../protocol/replication.ts';
import {
  CorruptLogError,
  DiskFullError,
  StateError,
  StorageFailedError,
} from '../errors.ts';
import type {DataFile, FileSystem} from '../files/file_system.ts';
import {nodeFileSystem} from '../files/node_file_system.ts';
import {replaceFile} from '../files/replace_file.ts';
import {decodeSnapshot} from '../snapshot/snapshot_codec.ts';
import {encodeFrame, readFrames} from './frames.ts';
import type {HardState, LogStorage, SnapshotHead} from './log_storage.ts';
import {
  formatSegment,
  listSegments,
  replaySegments,
  type LogRecord,
  type Segment,
} from './segments.ts';

/** A segment of at least this size is followed by a new one. */
const SEGMENT_BYTES = 1024 * 1024;

/** Entries kept before the snapshot's index, for slow followers. */
const TRAILING_ENTRIES = 1_000;

export interface OpenFileLogOptions {
  readonly folder: string;
  /** Defaults to the file system of the host. */
  readonly files?: FileSystem;
  /** A segment of at least this size is followed by a new one; 1 MiB. */
  readonly segmentBytes?: number;
  /** Entries kept before the snapshot's index; 1,000 by default. */
  readonly trailingEntries?: number;
}

/** Opens the log in a folder, and creates it if it is missing. */
export async function openFileLog(
  options: OpenFileLogOptions,
): Promise<Outcome<FileLog, Error>> {
  try {
    return succeed(await FileLog.open(options));
  } catch (error) {
    if (error instanceof StateError) return fail(error);
    const message = `Could not open the log in "${options.folder}"`;
    return fail(new StateError(message, {cause: error}));
  }
}

/** The in-memory state of an open log. */
interface Contents {
  incarnation: string;
  isNew: boolean;
  hardState: HardState;
  snapshot: SnapshotHead | null;
  snapshotBytes: number;
  /** Index and term of the entry before the first; `null` if unknown. */
  baseIndex: number;
  baseTerm: number | null;
  entries: LogEntry[];
  tailBytes: number;
}

/** A log in files. Use {@link openFileLog} to open one. */
export class FileLog implements LogStorage {
  private failure: Error | null = null;
  private active: DataFile | null = null;
  /** The size of each entry, as the mean over the frame it was written in. */
  private readonly entrySizes = new WeakMap<LogEntry, number>();

  private constructor(
    private readonly options: Required<OpenFileLogOptions>,
    private readonly contents: Contents,
    private segments: Segment[],
  ) {}

  static async open(given: OpenFileLogOptions): Promise<FileLog> {
    const options = {
      files: nodeFileSystem,
      segmentBytes: SEGMENT_BYTES,
      trailingEntries: TRAILING_ENTRIES,
      ...given,
    };
    const {files, folder} = options;
    await files.makeFolder(folder);
    const names = await files.list(folder);
    const known = await loadIncarnation(files, folder, names);
    const incarnation = known ?? (await createIncarnation(files, folder));
    const {head, bytes} = await readSnapshotHead(files, folder);
    const replayed = await replaySegments({
      files,
      folder,
      sequences: listSegments(names),
      snapshotIndex: head?.index ?? 0,
    });
    const contents: Contents = {
      ...replayed,
      incarnation,
      isNew: known === null,
      snapshot: head,
      snapshotBytes: bytes,
      baseTerm: replayed.baseIndex === 0 ? 0 : null,
    };
    const log = new FileLog(options, contents, replayed.segments);
    await log.resume();
    return log;
  }

  get incarnation(): string {
    return this.contents.incarnation;
  }

  get isNew(): boolean {
    return this.contents.isNew;
  }

  get hardState(): HardState {
    return this.contents.hardState;
  }

  get snapshot(): SnapshotHead | null {
    return this.contents.snapshot;
  }

  get tailBytes(): number {
    return this.contents.tailBytes;
  }

  get snapshotBytes(): number {
    return this.contents.snapshotBytes;
  }

  get firstIndex(): number {
    return this.contents.baseIndex + 1;
  }

  get lastIndex(): number {
    return this.contents.baseIndex + this.contents.entries.length;
  }

  async saveHardState(state: HardState): Promise<void> {
    await this.write({type: 'hard', ...state});
    this.contents.hardState = state;
  }

  async append(entries: readonly LogEntry[]): Promise<void> {
    const first = entries[0];
    if (!first) return;
    if (first.index < this.firstIndex || first.index > this.lastIndex + 1) {
      throw new Error(
        `Could not append entry ${first.index}: the log ends at ${this.lastIndex}`,
      );
    }
    const bytes = await this.write({type: 'entries', entries: [...entries]});
    const {contents} = this;
    contents.entries.length = first.index - contents.baseIndex - 1;
    for (const entry of entries) {
      contents.entries.push(entry);
      this.entrySizes.set(entry, bytes / entries.length);
    }
    contents.tailBytes += bytes;
    const segment = this.segments.at(-1);
    if (segment) {
      segment.lastIndex = Math.max(segment.lastIndex, this.lastIndex);
    }
  }

  read(first: number, last: number, maxBytes = Infinity): LogEntry[] {
    const {baseIndex, entries} = this.contents;
    const start = Math.max(0, first - baseIndex - 1);
    let end = Math.max(start, Math.min(entries.length, last - baseIndex));
    if (maxBytes < Infinity) {
      let bytes = 0;
      let readEnd = start;
      while (readEnd < end && bytes < maxBytes) {
        bytes += this.entrySizes.get(entries[readEnd] as LogEntry) ?? 0;
        readEnd++;
      }
      end = readEnd;
    }
    return entries.slice(start, end);
  }

  getTerm(index: number): number | null {
    const {baseIndex, baseTerm, entries, snapshot} = this.contents;
    if (index === snapshot?.index) return snapshot.term;
    if (index === baseIndex) return baseTerm;
    return entries[index - baseIndex - 1]?.term ?? null;
  }

  async readSnapshot(): Promise<Buffer | null> {
    const {files, folder} = this.options;
    return files.read(join(folder, 'snapshot'));
  }

  async saveSnapshot(head: SnapshotHead, bytes: Buffer): Promise<void> {
    if (this.failure) throw this.failure;
    const {files, folder} = this.options;
    const {contents} = this;
    if (contents.snapshot && head.index < contents.snapshot.index) return;
    try {
      await replaceFile(files, join(folder, 'snapshot'), bytes);
    } catch (error) {
      throw this.handleFailure(error);
    }
    const isContinuous = this.getTerm(head.index) === head.term;
    contents.snapshot = {
      index: head.index,
      term: head.term,
      membership: head.membership,
    };
    contents.snapshotBytes = bytes.length;
    contents.tailBytes = 0;
    if (isContinuous) await this.compact();
    else await this.reset();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.failure ??= new StorageFailedError(
      'Could not write: the log is closed',
    );
    await this.active?.close();
    this.active = null;
  }

  /** Truncates a torn frame and opens the last segment for appending. */
  private async resume(): Promise<void> {
    const {snapshot} = this.contents;
    const last = this.segments.at(-1);
    if (last) {
      const {files, folder} = this.options;
      this.active = await files.open(
        join(folder, formatSegment(last.sequence)),
      );
      await this.active.truncate(last.bytes);
      await this.active.sync();
    }
    const isContinuous =
      !snapshot || this.getSegmentTerm(snapshot.index) === snapshot.term;
    if (!isContinuous) await this.reset();
    else if (!last || last.bytes === 0) await this.beginSegment({});
  }

  /** Returns the term of an entry according to the segments. */
  private getSegmentTerm(index: number): number | null {
    const {baseIndex, baseTerm, entries, snapshot} = this.contents;
    if (index === baseIndex) return baseTerm ?? snapshot?.term ?? null;
    return entries[index - baseIndex - 1]?.term ?? null;
  }

  /** Appends one frame, syncs it and returns its size. */
  private async write(record: LogRecord): Promise<number> {
    if (this.failure) throw this.failure;
    const last = this.segments.at(-1);
    if (!last || last.bytes >= this.options.segmentBytes) {
      await this.beginSegment({});
    }
    const segment = this.segments.at(-1);
    if (!segment || !this.active) throw new Error('No open log segment');
    const frame = encodeFrame(record);
    try {
      await this.active.append(frame);
    } catch (error) {
      throw await this.undoAppend(segment, error);
    }
    try {
      await this.active.sync();
    } catch (error) {
      throw this.failPermanently(error);
    }
    segment.bytes += frame.length;
    return frame.length;
  }

  /** Truncates a partial frame that a failed append may have left. */
  private async undoAppend(segment: Segment, cause: unknown): Promise<Error> {
    if (!isDiskFull(cause)) return this.failPermanently(cause);
    try {
      await this.active?.truncate(segment.bytes);
      await this.active?.sync();
      return this.handleFailure(cause);
    } catch (error) {
      return this.failPermanently(error);
    }
  }

  /** Begins a segment. Each starts with the hard state. */
  private async beginSegment({resetTo}: {resetTo?: number}): Promise<void> {
    const {files, folder} = this.options;
    const sequence = (this.segments.at(-1)?.sequence ?? 0) + 1;
    const path = join(folder, formatSegment(sequence));
    const frame = encodeFrame({type: 'hard', ...this.hardState, resetTo});
    try {
      const file = await files.open(path);
      try {
        await file.append(frame);
        await file.sync();
        await files.syncFolder(folder);
      } catch (error) {
        await file.close();
        await files.remove(path);
        throw error;
      }
      await this.active?.close();
      this.active = file;
    } catch (error) {
      throw this.handleFailure(error);
    }
    this.segments.push({sequence, bytes: frame.length, lastIndex: 0});
  }

  /** Drops the entries that the snapshot covers, except the trailing ones. */
  private async compact(): Promise<void> {
    const {contents} = this;
    const snapshotIndex = contents.snapshot?.index ?? 0;
    const index = snapshotIndex - this.options.trailingEntries;
    if (index <= contents.baseIndex) return;
    const baseTerm = this.getTerm(index);
    contents.entries.splice(0, index - contents.baseIndex);
    contents.baseIndex = index;
    contents.baseTerm = baseTerm;
    const kept = this.segments.findIndex(
      (segment, position) =>
        segment.lastIndex > index || position === this.segments.length - 1,
    );
    await this.removeSegments(kept);
  }

  /** Restarts the log at a snapshot that its entries do not lead up to. */
  private async reset(): Promise<void> {
    const {contents} = this;
    const {index, term} = contents.snapshot ?? {index: 0, term: 0};
    contents.entries = [];
    contents.baseIndex = index;
    contents.baseTerm = term;
    await this.beginSegment({resetTo: index});
    await this.removeSegments(this.segments.length - 1);
  }

  private async removeSegments(count: number): Promise<void> {
    if (count <= 0) return;
    const {files, folder} = this.options;
    try {
      for (const {sequence} of this.segments.splice(0, count)) {
        await files.remove(join(folder, formatSegment(sequence)));
      }
      await files.syncFolder(folder);
    } catch (error) {
      throw this.handleFailure(error);
    }
  }

  private handleFailure(cause: unknown): Error {
    if (!isDiskFull(cause)) return this.failPermanently(cause);
    const message = `Could not write to "${this.options.folder}": the disk is full`;
    return new DiskFullError(message, {cause});
  }

  private failPermanently(cause: unknown): Error {
    const message = `Could not write to "${this.options.folder}"`;
    this.failure ??= new StorageFailedError(message, {cause});
    return this.failure;
  }
}

function isDiskFull(error: unknown): boolean {
  const {code} = error as NodeJS.ErrnoException;
  return code === 'ENOSPC' || code === 'EDQUOT';
}

/** Reads the folder's incarnation; `null` if the folder is empty. */
async function loadIncarnation(
  files: FileSystem,
  folder: string,
  names: readonly string[],
): Promise<string | null> {
  const path = join(folder, 'identity');
  const bytes = await files.read(path);
  if (bytes) {
    const {frames, state} = readFrames(bytes);
    if (state === 'whole' && frames.length === 1) {
      return (frames[0]?.body as {incarnation: string}).incarnation;
    }
    throw new CorruptLogError(
      `Could not read "${path}": its checksum is wrong`,
    );
  }
  if (listSegments(names).length > 0 || names.includes('snapshot')) {
    throw new CorruptLogError(`Could not find "${path}" beside its log`);
  }
  return null;
}

async function createIncarnation(
  files: FileSystem,
  folder: string,
): Promise<string> {
  const path = join(folder, 'identity');
  const incarnation = createIdentifier('disk');
  await replaceFile(files, path, encodeFrame({incarnation}));
  return incarnation;
}

async function readSnapshotHead(files: FileSystem, folder: string) {
  const path = join(folder, 'snapshot');
  const bytes = await files.read(path);
  if (!bytes) return {head: null, bytes: 0};
  const snapshot = decodeSnapshot(bytes);
  if (!snapshot) {
    throw new CorruptLogError(
      `Could not read "${path}": its checksum is wrong`,
    );
  }
  const {index, term, membership} = snapshot;
  return {head: {index, term, membership}, bytes: bytes.length};
}
