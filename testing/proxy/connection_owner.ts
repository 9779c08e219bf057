/**
 * Finds the local process that opened a connection by reading procfs, so that a
 * proxy can tell its clients apart.
 */
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';

/** Column indexes in a row of `/proc/net/tcp`. */
const LOCAL_COLUMN = 1;
const INODE_COLUMN = 9;

/**
 * Finds the process that owns the socket bound to the local `port`.
 *
 * @param pids The candidate process ids.
 * @returns The process id, or `undefined` if no candidate owns it.
 */
export function findConnectionOwner(
  port: number,
  pids: readonly number[],
): number | undefined {
  const inode = findInode(port);
  if (inode === undefined) return undefined;
  return pids.find(pid => ownsSocket(pid, `socket:[${inode}]`));
}

function findInode(port: number): string | undefined {
  const suffix = `:${port.toString(16).toUpperCase().padStart(4, '0')}`;
  const rows = readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1);
  const row = rows
    .map(each => each.trim().split(/\s+/))
    .find(
      columns =>
        columns[LOCAL_COLUMN]?.endsWith(suffix) &&
        columns[INODE_COLUMN] !== '0',
    );
  return row?.[INODE_COLUMN];
}

function ownsSocket(pid: number, name: string): boolean {
  const folder = `/proc/${pid}/fd`;
  try {
    return readdirSync(folder).some(fd => {
      try {
        return readlinkSync(`${folder}/${fd}`) === name;
      } catch {
        return false;
      }
    });
  } catch {
    return false;
  }
}
