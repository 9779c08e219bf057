/** The log of a member of a group of three, for tests of one replica alone. */
import type {LogEntry} from '../../protocol/replication.ts';
import {MemoryFileSystem} from '../../state/files/memory_file_system.ts';
import {openFileLog} from '../../state/log/file_log.ts';
import {encodeSnapshot} from '../../state/snapshot/snapshot_codec.ts';

/** The hosts of the group; the log is that of the first. */
export const MEMBER_HOSTS = ['a', 'b', 'c'].map(name => ({
  name,
  region: 'r',
  dataCentre: name,
}));

export interface OpenMemberLogOptions {
  readonly entries: readonly LogEntry[];
  readonly term: number;
}

/** Opens a log in memory that holds `entries` as of `term`. */
export async function openMemberLog({entries, term}: OpenMemberLogOptions) {
  const opened = await openFileLog({
    folder: '/data/group',
    files: new MemoryFileSystem(),
  });
  if (!opened.ok) throw opened.error;
  const storage = opened.value;
  const voters = [
    {name: 'a', incarnation: storage.incarnation},
    {name: 'b', incarnation: 'disk_b'},
    {name: 'c', incarnation: 'disk_c'},
  ];
  const snapshot = {index: 0, term: 0, membership: {voters}, state: null};
  await storage.saveSnapshot(snapshot, encodeSnapshot(snapshot));
  if (entries.length > 0) await storage.append(entries);
  await storage.saveHardState({term, votedFor: null});
  return storage;
}
