/** Replaces the content of a file atomically. */
import {dirname} from 'node:path';
import type {FileSystem} from './file_system.ts';

/** Replaces a file; after a crash it has either the old or the new content. */
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
