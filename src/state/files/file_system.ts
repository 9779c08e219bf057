/**
 * The file operations that the state layer needs.
 *
 * Appended data survives a crash only after `sync`; a created, renamed or
 * removed name only after `syncFolder`. Failures reject with the error code of
 * the operating system, such as `ENOSPC`.
 */

/** An open file that can only be appended to or truncated. */
export interface DataFile {
  append(bytes: Uint8Array): Promise<void>;
  truncate(size: number): Promise<void>;
  /** Resolves once the content is on disk. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** A file system. Paths are absolute. */
export interface FileSystem {
  makeFolder(path: string): Promise<void>;
  /** Returns the names in a folder, in no particular order. */
  list(path: string): Promise<string[]>;
  /** Returns the content of a file; `null` if it does not exist. */
  read(path: string): Promise<Buffer | null>;
  /** Opens a file for appending, and creates it if it is missing. */
  open(path: string): Promise<DataFile>;
  rename(from: string, to: string): Promise<void>;
  remove(path: string): Promise<void>;
  /** Resolves once the names in a folder are on disk. */
  syncFolder(path: string): Promise<void>;
}
