/**
 * What a founder of a group has promised and voted for, on its disk.
 *
 * The file stands beside the folder of the log, so that a log that is put aside as
 * damaged does not take it away: the host then remains known as one whose log was
 * lost. A file that cannot be read is an outcome; it is never replaced.
 */
import {dirname} from 'node:path';
import * as z from 'zod';
import {ballotSchema, foundingVoteSchema} from '../../protocol/founding.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {FileSystem} from '../files/file_system.ts';
import {replaceFile} from '../files/replace_file.ts';
import {encodeFrame, readFrames} from '../log/frames.ts';

export const founderRecordSchema = z.object({
  /** The disk that votes. */
  incarnation: z.string(),
  /** The names of all founders, as of the first start. */
  founders: z.array(z.string()),
  /** The latest ballot that was granted. */
  promised: ballotSchema.nullable(),
  /** The latest vote. */
  vote: foundingVoteSchema.nullable(),
});

export type FounderRecord = z.infer<typeof founderRecordSchema>;

export interface FounderFileOptions {
  readonly files: FileSystem;
  readonly path: string;
}

/** Loads the record; `null` if there is none, a reason if it is damaged. */
export async function loadFounderRecord({
  files,
  path,
}: FounderFileOptions): Promise<Outcome<FounderRecord | null, string>> {
  const bytes = await files.read(path);
  if (!bytes) return succeed(null);
  const {frames, state} = readFrames(bytes);
  if (state !== 'whole' || frames.length !== 1) {
    return fail(`Could not read "${path}": its checksum is wrong`);
  }
  const parsed = founderRecordSchema.safeParse(frames[0]?.body);
  return parsed.success
    ? succeed(parsed.data)
    : fail(`Could not read "${path}": ${parsed.error.message}`);
}

/** Replaces the record; it is on disk once the promise resolves. */
export async function saveFounderRecord(
  {files, path}: FounderFileOptions,
  record: FounderRecord,
): Promise<void> {
  await files.makeFolder(dirname(path));
  await replaceFile(files, path, encodeFrame(record));
}
