/** Opens the log of one group and quarantines a damaged one. */
import {rename} from 'node:fs/promises';
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import {CorruptLogError} from '../../state/errors.ts';
import {openFileLog, type FileLog} from '../../state/log/file_log.ts';

export interface OpenStorageOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Opens the log in `folder`. A damaged folder is renamed and replaced by an
 * empty one; the replica is then repaired from its peers, as after a disk
 * replacement. Throws if the folder cannot be read at all.
 */
export async function openStorage(
  folder: string,
  {clock, logger}: OpenStorageOptions,
): Promise<FileLog> {
  const outcome = await openFileLog({folder});
  if (outcome.ok) return outcome.value;
  if (!(outcome.error instanceof CorruptLogError)) throw outcome.error;
  const quarantineFolder = `${folder}.damaged-${clock.now()}`;
  await rename(folder, quarantineFolder);
  logger.error(
    'Quarantines a damaged log; the replica needs repair by its peers.',
    {
      folder: quarantineFolder,
      reason: outcome.error.message,
    },
  );
  const replacement = await openFileLog({folder});
  if (!replacement.ok) throw replacement.error;
  return replacement.value;
}
