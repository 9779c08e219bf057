/**
 * Finds which process opened a connection on this machine, from the kernel's
 * tables, so that a proxy can tell the sources of its connections apart.
 */
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';

/** The columns of a row of `/proc/net/tcp`. */
const LOCAL_COLUMN = 1;
const INODE_COLUMN = 9;

/**
 * Finds the process that owns the local end with `port`.
 *
 * @param pids The processes that may own it.
 * @returns The process id, or `undefined` when none of them owns it.
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
