/**
 * The last view of a core daemon, saved to its disk.
 *
 * After a restart of the whole core the log has no leader for some seconds, and
 * without a leader the commit index is unknown. Until one is elected, gateways
 * get the saved configuration, which was known to be committed, and the saved
 * endpoints. Departures are acknowledged once it or the journal has them.
 */
import {join} from 'node:path';
import * as z from 'zod';
import {configurationSchema} from '../../protocol/core_service.ts';
import {endpointReportSchema} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import {fail, type Outcome} from '../../protocol/outcome.ts';
import {
  createEntryList,
  parseMessage,
  type ParsedMessage,
} from '../../protocol/parse_message.ts';
import {suspectSchema} from '../../protocol/suspect.ts';
import type {FileSystem} from '../files/file_system.ts';
import {nodeFileSystem} from '../files/node_file_system.ts';
import {replaceFile} from '../files/replace_file.ts';

const FILE_NAME = 'view.json';

export const savedViewSchema = z.object({
  configuration: configurationSchema,
  endpoints: createEntryList(endpointReportSchema),
  /** Absent from files of earlier versions; ages are as of the save. */
  suspects: createEntryList(suspectSchema).default([]),
});

export type SavedView = z.infer<typeof savedViewSchema>;

export interface ViewFileOptions {
  readonly folder: string;
  readonly logger: Logger;
  /** Defaults to the file system of the host. */
  readonly files?: FileSystem;
}

/** Loads and saves the view file; overlapping saves are coalesced. */
export class ViewFile {
  private readonly files: FileSystem;
  private readonly path: string;
  private waiting: SavedView | null = null;
  private isWriting = false;

  constructor(private readonly options: ViewFileOptions) {
    this.files = options.files ?? nodeFileSystem;
    this.path = join(options.folder, FILE_NAME);
  }

  /** Returns the saved view; `null` if it is missing or invalid. */
  async load(): Promise<SavedView | null> {
    const {logger} = this.options;
    const bytes = await this.files.read(this.path);
    if (!bytes) return null;
    const parsed = parseView(bytes.toString('utf8'));
    if (!parsed.ok) {
      const reason = parsed.error;
      logger.warn('Ignores the saved view: the file is invalid.', {reason});
      return null;
    }
    const {value, droppedCount: count, dropped} = parsed.value;
    if (count > 0) {
      logger.warn('Drops invalid entries of the saved view.', {count, dropped});
    }
    return value;
  }

  /**
   * Saves a view; resolves to whether the disk holds it, or a later one. During a
   * write, only the latest view waits for the next, and the call does not wait for it.
   */
  async save(view: SavedView): Promise<boolean> {
    this.waiting = view;
    if (this.isWriting) return false;
    this.isWriting = true;
    try {
      while (this.waiting) {
        const content = Buffer.from(JSON.stringify(this.waiting));
        this.waiting = null;
        await replaceFile(this.files, this.path, content);
      }
      return true;
    } catch (error) {
      const {message: reason} = error as Error;
      this.options.logger.warn(
        'Could not save the view; a restart would load an older one.',
        {reason},
      );
      return false;
    } finally {
      this.isWriting = false;
    }
  }
}

function parseView(text: string): Outcome<ParsedMessage<SavedView>, string> {
  try {
    return parseMessage(savedViewSchema, JSON.parse(text));
  } catch (error) {
    return fail((error as Error).message);
  }
}
