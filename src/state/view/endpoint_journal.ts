/**
 * The endpoints that changed since a core daemon last saved its view, on its disk.
 *
 * A departure must be on the disk before it is acknowledged, and the view is too
 * large to be saved each time. Changes are appended to this file, many with one
 * sync, until a view that has them is saved. A torn end was never synced, and
 * nothing relied on it. After a failed write the next one begins at the last synced
 * byte.
 */
import {join} from 'node:path';
import * as z from 'zod';
import {
  endpointReportSchema,
  type EndpointReport,
} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import {createEntryList, parseMessage} from '../../protocol/parse_message.ts';
import type {DataFile, FileSystem} from '../files/file_system.ts';
import {nodeFileSystem} from '../files/node_file_system.ts';
import {encodeFrame, readFrames} from '../log/frames.ts';

const FILE_NAME = 'endpoints.journal';

const recordSchema = z.object({
  endpoints: createEntryList(endpointReportSchema),
});

export interface EndpointJournalOptions {
  readonly folder: string;
  readonly logger: Logger;
  /** Defaults to the file system of the host. */
  readonly files?: FileSystem;
}

/** An open journal, with one writer. */
export class EndpointJournal implements AsyncDisposable {
  /** Whether the last write failed, so that its bytes may be there. */
  private hasFailed = false;

  private constructor(
    private readonly logger: Logger,
    private readonly file: DataFile,
    private syncedBytes: number,
    /** The reports that it had when it was opened, the oldest first. */
    readonly loaded: readonly EndpointReport[],
  ) {}

  /** Opens the journal, and creates it if it is missing. */
  static async open({
    folder,
    logger,
    files = nodeFileSystem,
  }: EndpointJournalOptions): Promise<EndpointJournal> {
    const path = join(folder, FILE_NAME);
    await files.makeFolder(folder);
    const found = await files.read(path);
    const bytes = found ?? Buffer.alloc(0);
    const {frames, end, state} = readFrames(bytes);
    if (state === 'damaged') {
      logger.error(
        'Drops the end of the journal of endpoints: a checksum is wrong.',
        {path, atByte: end, bytes: bytes.length},
      );
    }
    const loaded = frames.flatMap(({body}) => parseRecord(body, logger));
    const file = await files.open(path);
    if (end < bytes.length) {
      await file.truncate(end);
      await file.sync();
    }
    if (found === null) await files.syncFolder(folder);
    return new EndpointJournal(logger, file, end, loaded);
  }

  get isEmpty(): boolean {
    return this.syncedBytes === 0 && !this.hasFailed;
  }

  /** Appends reports; resolves to whether the disk holds them. */
  append(reports: readonly EndpointReport[]): Promise<boolean> {
    return this.write(async () => {
      if (this.hasFailed) await this.file.truncate(this.syncedBytes);
      const frame = encodeFrame({endpoints: reports});
      await this.file.append(frame);
      await this.file.sync();
      this.syncedBytes += frame.length;
    });
  }

  /** Empties the journal, once a saved view has what it holds. */
  clear(): Promise<boolean> {
    return this.write(async () => {
      await this.file.truncate(0);
      this.syncedBytes = 0;
      await this.file.sync();
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.file.close();
  }

  private async write(change: () => Promise<void>): Promise<boolean> {
    try {
      await change();
      if (this.hasFailed) {
        this.logger.info('Can write the journal of endpoints again.');
      }
      this.hasFailed = false;
      return true;
    } catch (error) {
      if (!this.hasFailed) {
        this.logger.error(
          'Could not write the journal of endpoints: departures are not saved.',
          {reason: (error as Error).message},
        );
      }
      this.hasFailed = true;
      return false;
    }
  }
}

function parseRecord(body: unknown, logger: Logger): EndpointReport[] {
  const parsed = parseMessage(recordSchema, body);
  if (!parsed.ok) {
    logger.warn('Drops an invalid record of the journal of endpoints.', {
      reason: parsed.error,
    });
    return [];
  }
  const {value, droppedCount: count, dropped} = parsed.value;
  if (count > 0) {
    logger.warn('Drops invalid entries of the journal of endpoints.', {
      count,
      dropped,
    });
  }
  return value.endpoints;
}
