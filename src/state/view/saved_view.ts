/**
 * What a daemon of the core knew last, kept on its disk.
 *
 * After a restart of the whole core the log has no leader for some seconds, and
 * without one it is not known how much of it is committed. Until then gateways
 * get the configuration that was known to be committed before, and the
 * endpoints that were there. Nothing else is decided by this file; a lost or
 * damaged one only costs those seconds.
 */
import {join} from 'node:path';
import * as z from 'zod';
import {
  configurationSchema,
  type Configuration,
} from '../../protocol/core_service.ts';
import {
  endpointReportSchema,
  type EndpointReport,
} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {FileSystem} from '../files/file_system.ts';
import {nodeFileSystem} from '../files/node_file_system.ts';
import {replaceFile} from '../files/replace_file.ts';

const FILE_NAME = 'view.json';

const savedViewSchema = z.object({
  configuration: configurationSchema,
  endpoints: z.array(endpointReportSchema),
});

/** The content of the file. */
export type SavedView = z.infer<typeof savedViewSchema>;

export interface ViewFileOptions {
  readonly folder: string;
  readonly logger: Logger;
  /** The machine's by default. */
  readonly files?: FileSystem;
}

/** Reads and replaces the file; writes that overlap become one. */
export class ViewFile {
  private readonly files: FileSystem;
  private readonly path: string;
  private waiting: SavedView | null = null;
  private isWriting = false;

  constructor(private readonly options: ViewFileOptions) {
    this.files = options.files ?? nodeFileSystem;
    this.path = join(options.folder, FILE_NAME);
  }

  /** Returns the last view; `null` when there is none that can be read. */
  async load(): Promise<SavedView | null> {
    const bytes = await this.files.read(this.path);
    if (!bytes) return null;
    try {
      return savedViewSchema.parse(JSON.parse(bytes.toString('utf8')));
    } catch (error) {
      const {message: reason} = error as Error;
      this.options.logger.warn('Ignores its saved view.', {reason});
      return null;
    }
  }

  /** Saves a view; of several that wait, only the last is written. */
  async save(
    configuration: Configuration,
    endpoints: readonly EndpointReport[],
  ): Promise<void> {
    this.waiting = {configuration, endpoints: [...endpoints]};
    if (this.isWriting) return;
    this.isWriting = true;
    try {
      while (this.waiting) {
        const content = Buffer.from(JSON.stringify(this.waiting));
        this.waiting = null;
        await replaceFile(this.files, this.path, content);
      }
    } catch (error) {
      const {message: reason} = error as Error;
      this.options.logger.warn('Could not save its view.', {reason});
    } finally {
      this.isWriting = false;
    }
  }
}
