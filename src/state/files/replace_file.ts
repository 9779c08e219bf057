/** Replaces the content of a file in one step. */
import {dirname} from 'node:path';
import type {FileSystem} from './file_system.ts';

/** After a crash the file holds the old content or the new, whole. */
export async function replaceFile(
  files: FileSystem,
  path: string,
  content: Uint8Array,
): Promise<void> {
  const temporary = `${path}.tmp`;
  await files.remove(temporary);
  const file = await files.open(temporary);
  try {
    await file.append(content);
    await file.sync();
  } finally {
    await file.close();
  }
  await files.rename(temporary, path);
  await files.syncFolder(dirname(path));
}
