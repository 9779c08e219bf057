/**
 * The few file operations that the state layer needs.
 *
 * What is appended survives a crash only after `sync`, a created, renamed or
 * removed name only after `syncFolder`. Failures reject with the error code of
 * the operating system, such as `ENOSPC`.
 */

/** An open file that only grows, or is cut. */
export interface DataFile {
  append(bytes: Uint8Array): Promise<void>;
  truncate(size: number): Promise<void>;
  /** Resolves once the content is on the disk. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** The operations on one file system. Paths are absolute. */
export interface FileSystem {
  makeFolder(path: string): Promise<void>;
  /** The names in a folder, in no order. */
  list(path: string): Promise<string[]>;
  /** The whole content, or `null` when there is no such file. */
  read(path: string): Promise<Buffer | null>;
  /** Opens a file for appending and creates it when missing. */
  open(path: string): Promise<DataFile>;
  rename(from: string, to: string): Promise<void>;
  remove(path: string): Promise<void>;
  /** Resolves once the names in a folder are on the disk. */
  syncFolder(path: string): Promise<void>;
}
