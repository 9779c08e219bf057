/** The file system of the host, accessed through Node.js. */
import {
  mkdir,
  open,
  readFile,
  readdir,
  rename,
  rm,
  type FileHandle,
} from 'node:fs/promises';
import type {DataFile, FileSystem} from './file_system.ts';

export const nodeFileSystem: FileSystem = {
  async makeFolder(path) {
    await mkdir(path, {recursive: true});
  },
  list: path => readdir(path),
  async read(path) {
    try {
      return await readFile(path);
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') return null;
      throw error;
    }
  },
  async open(path) {
    return wrapHandle(await open(path, 'a'));
  },
  rename,
  remove: path => rm(path, {force: true}),
  async syncFolder(path) {
    const handle = await open(path, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  },
};

function wrapHandle(handle: FileHandle): DataFile {
  return {
    append: bytes => handle.appendFile(bytes),
    truncate: size => handle.truncate(size),
    sync: () => handle.datasync(),
    close: () => handle.close(),
  };
}
