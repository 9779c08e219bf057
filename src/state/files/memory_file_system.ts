/**
 * An in-memory file system for tests that simulates crashes and failures.
 *
 * A crash keeps all synced data and an arbitrary part of the rest: a prefix of
 * the unsynced bytes, possibly with one damaged byte, and any of the unsynced
 * changes of names.
 */
import {basename, dirname} from 'node:path';
import type {DataFile, FileSystem} from './file_system.ts';

interface MemoryFile {
  content: Buffer;
  syncedBytes: number;
}

/** Decides which unsynced data is kept; returns a number in [0, 1). */
export type Random = () => number;

export class MemoryFileSystem implements FileSystem {
  private names = new Map<string, MemoryFile>();
  private synced = new Map<string, MemoryFile>();
  private generation = 0;

  /** Called before each change; may throw or crash the file system. */
  beforeChange: (operation: string, path: string) => void = () => {};

  /** Loses part of the unsynced data. Open files become unusable. */
  crash(random: Random): void {
    this.generation++;
    for (const path of new Set([...this.names.keys(), ...this.synced.keys()])) {
      const before = this.synced.get(path);
      const after = this.names.get(path);
      const kept = before === after || random() < 0.5 ? after : before;
      if (kept) this.names.set(path, kept);
      else this.names.delete(path);
    }
    for (const file of new Set(this.names.values())) tearFile(file, random);
    this.synced = new Map(this.names);
  }

  /** Returns a handle for one process; a crash invalidates it. */
  connect(): FileSystem {
    const {generation} = this;
    const guard =
      <A extends unknown[], T>(operation: (...args: A) => Promise<T>) =>
      async (...args: A): Promise<T> => {
        if (generation !== this.generation) throw new Error('Crashed');
        return operation(...args);
      };
    return {
      makeFolder: guard(() => this.makeFolder()),
      list: guard(path => this.list(path)),
      read: guard(path => this.read(path)),
      open: guard(path => this.open(path)),
      rename: guard((from, to) => this.rename(from, to)),
      remove: guard(path => this.remove(path)),
      syncFolder: guard(path => this.syncFolder(path)),
    };
  }

  /** Erases all data and invalidates open files, like a new disk. */
  erase(): void {
    this.generation++;
    this.names.clear();
    this.synced.clear();
  }

  flipBit(path: string, bit: number): void {
    const file = this.names.get(path);
    if (!file) throw new Error(`Could not find "${path}"`);
    const offset = bit >> 3;
    file.content[offset] = (file.content[offset] ?? 0) ^ (1 << (bit & 7));
  }

  async makeFolder(): Promise<void> {}

  async list(path: string): Promise<string[]> {
    const inside = [...this.names.keys()].filter(
      each => dirname(each) === path,
    );
    return inside.map(each => basename(each));
  }

  async read(path: string): Promise<Buffer | null> {
    const file = this.names.get(path);
    return file ? Buffer.from(file.content) : null;
  }

  async open(path: string): Promise<DataFile> {
    let file = this.names.get(path);
    if (!file) {
      this.beforeChange('create', path);
      file = {content: Buffer.alloc(0), syncedBytes: 0};
      this.names.set(path, file);
    }
    return this.openFile(path, file);
  }

  async rename(from: string, to: string): Promise<void> {
    this.beforeChange('rename', from);
    const file = this.names.get(from);
    if (!file) throw new Error(`Could not rename "${from}": no such file`);
    this.names.delete(from);
    this.names.set(to, file);
  }

  async remove(path: string): Promise<void> {
    this.beforeChange('remove', path);
    this.names.delete(path);
  }

  async syncFolder(path: string): Promise<void> {
    this.beforeChange('syncFolder', path);
    for (const each of new Set([...this.names.keys(), ...this.synced.keys()])) {
      if (dirname(each) !== path) continue;
      const file = this.names.get(each);
      if (file) this.synced.set(each, file);
      else this.synced.delete(each);
    }
  }

  private openFile(path: string, file: MemoryFile): DataFile {
    const {generation} = this;
    const change = (operation: string) => {
      if (generation !== this.generation) throw new Error('Crashed');
      this.beforeChange(operation, path);
    };
    return {
      append: async bytes => {
        change('append');
        file.content = Buffer.concat([file.content, bytes]);
      },
      truncate: async size => {
        change('truncate');
        file.content = Buffer.from(file.content.subarray(0, size));
        file.syncedBytes = Math.min(file.syncedBytes, size);
      },
      sync: async () => {
        change('sync');
        file.syncedBytes = file.content.length;
      },
      close: async () => {},
    };
  }
}

function tearFile(file: MemoryFile, random: Random): void {
  const unsyncedBytes = file.content.length - file.syncedBytes;
  const kept = file.syncedBytes + Math.floor(random() * (unsyncedBytes + 1));
  file.content = Buffer.from(file.content.subarray(0, kept));
  if (kept > file.syncedBytes && random() < 0.5) {
    const offset =
      file.syncedBytes + Math.floor(random() * (kept - file.syncedBytes));
    file.content[offset] = (file.content[offset] ?? 0) ^ 0x40;
  }
  file.syncedBytes = file.content.length;
}
