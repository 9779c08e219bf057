/** One member of a group of three, for tests of a single replica. */
import {silentLogger} from '../../protocol/logger.ts';
import type {LogEntry} from '../../protocol/replication.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {MemoryFileSystem} from '../../state/files/memory_file_system.ts';
import {openFileLog} from '../../state/log/file_log.ts';
import {encodeSnapshot} from '../../state/snapshot/snapshot_codec.ts';
import type {ReplicaHost} from './member.ts';
import type {ReplicaPeer} from './peer_replicator.ts';
import {Recorder} from './recorder_fake.ts';
import {Replica} from './replica.ts';

/** The hosts of the group; the replica under test is on the first. */
export const MEMBER_HOSTS = ['a', 'b', 'c'].map(name => ({
  name,
  region: 'r',
  dataCentre: name,
}));

interface OpenMemberLogOptions {
  readonly entries: readonly LogEntry[];
  readonly term: number;
}

/** Opens an in-memory log with `entries`, whose current term is `term`. */
async function openMemberLog({entries, term}: OpenMemberLogOptions) {
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

/** Creates a peer that never replies. */
export function createUnresponsivePeer(): ReplicaPeer {
  const neverReply = () => new Promise<never>(() => {});
  return {
    vote: neverReply,
    append: neverReply,
    installSnapshot: neverReply,
    describeReplica: neverReply,
    formGroup: neverReply,
    transferLeadership: neverReply,
  };
}

export interface OpenMemberOptions {
  readonly entries?: readonly LogEntry[];
  readonly term?: number;
  readonly getPeer?: (name: string) => ReplicaPeer;
  /** The hosts that may run replicas; by default those of the group. */
  readonly hosts?: readonly ReplicaHost[];
  /** Defaults to that of `Replica`. */
  readonly replaceAfterMs?: number;
}

/** Opens the first member. It runs no tasks until it is started. */
export async function openMember({
  entries = [],
  term = 1,
  getPeer = createUnresponsivePeer,
  hosts = MEMBER_HOSTS,
  ...rest
}: OpenMemberOptions = {}) {
  const clock = new SimulatedClock();
  const storage = await openMemberLog({entries, term});
  const replica = await Replica.open<string, number>({
    group: 'group',
    name: 'a',
    bootstrapHosts: [],
    listHosts: () => hosts,
    voterCount: 3,
    storage,
    stateMachine: new Recorder(() => {}),
    clock,
    random: () => 0,
    logger: silentLogger,
    getPeer,
    ...rest,
  });
  return {clock, replica, storage};
}
