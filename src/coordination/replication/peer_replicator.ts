/** Keeps one peer up to date for as long as this member leads. */
import type {Clock} from '../../protocol/clock.ts';
import type {
  AppendReply,
  InstallReply,
  ReplicationService,
} from '../../protocol/replication.ts';
import type {LogStorage} from '../../state/log/log_storage.ts';
import type {PeerProgress} from './leadership.ts';

/** How often a leader speaks to each peer when it has nothing to send. */
export const HEARTBEAT_MS = 200;

/** How long a peer may take to answer an append. */
const APPEND_TIMEOUT_MS = 600;

/** How long a peer may take to answer a piece of a snapshot. */
const INSTALL_TIMEOUT_MS = 1_500;

/** The most entries in one append. */
const MAX_APPEND_ENTRIES = 512;

/** The size from which on an append takes no further entry. */
const APPEND_SOFT_LIMIT_BYTES = 128 * 1024;

/** The size of a piece of a snapshot: 26 ms of a link of 20 Mb/s. */
const CHUNK_BYTES = 64 * 1024;

/** Calls that a replica makes to another. A rejection counts as silence. */
export type ReplicaPeer = {
  [K in keyof ReplicationService]: (
    request: Parameters<ReplicationService[K]>[0],
    timeoutMs: number,
  ) => ReturnType<ReplicationService[K]>;
};

export interface PeerReplicatorOptions {
  readonly group: string;
  readonly leader: string;
  readonly term: number;
  readonly storage: LogStorage;
  readonly clock: Clock;
  readonly peer: ReplicaPeer;
  readonly getCommitIndex: () => number;
  /** Runs after the peer synced more entries. */
  readonly onProgress: () => void;
  /** Runs when the peer knows of a later term. */
  readonly onLaterTerm: (term: number) => void;
}

/** Serves a peer until its progress is stopped. */
export async function replicateToPeer(
  options: PeerReplicatorOptions,
  progress: PeerProgress,
): Promise<void> {
  const {storage, clock} = options;
  const {signal} = progress.stopped;
  while (!signal.aborted) {
    const caughtUp = progress.nextIndex > storage.lastIndex;
    if (
      caughtUp &&
      progress.lastContactAt > -Infinity &&
      !progress.needsSnapshot
    ) {
      await progress.wake.wait(HEARTBEAT_MS);
    }
    if (signal.aborted) return;
    try {
      if (needsSnapshot(storage, progress))
        await sendSnapshot(options, progress);
      else await sendEntries(options, progress);
    } catch {
      await clock.sleep(HEARTBEAT_MS, signal);
    }
  }
}

function needsSnapshot(storage: LogStorage, progress: PeerProgress): boolean {
  if (progress.needsSnapshot) return true;
  return storage.getTerm(progress.nextIndex - 1) === null;
}

async function sendEntries(
  options: PeerReplicatorOptions,
  progress: PeerProgress,
): Promise<void> {
  const {storage, group, leader, term, peer} = options;
  const previousIndex = progress.nextIndex - 1;
  const last = previousIndex + MAX_APPEND_ENTRIES;
  const sentAt = options.clock.monotonic();
  const reply = await peer.append(
    {
      group,
      to: progress.member.incarnation,
      term,
      leader,
      previousIndex,
      previousTerm: storage.getTerm(previousIndex) ?? 0,
      entries: storage.read(progress.nextIndex, last, APPEND_SOFT_LIMIT_BYTES),
      commitIndex: options.getCommitIndex(),
    },
    APPEND_TIMEOUT_MS,
  );
  if (!recordReply(options, progress, {reply, sentAt})) return;
  if (!reply.formed) {
    progress.needsSnapshot = true;
  } else if (reply.accepted) {
    progress.matchIndex = Math.max(progress.matchIndex, reply.matchIndex);
    progress.nextIndex = progress.matchIndex + 1;
    options.onProgress();
  } else {
    progress.nextIndex = Math.max(1, reply.matchIndex + 1);
  }
}

/** Sends the snapshot in pieces, and goes on where the peer says it is. */
async function sendSnapshot(
  options: PeerReplicatorOptions,
  progress: PeerProgress,
): Promise<void> {
  const {storage, clock, group, leader, term, peer} = options;
  const bytes = await storage.readSnapshot();
  const metadata = storage.snapshot;
  if (!bytes || !metadata) throw new Error('Could not find a snapshot to send');
  let offset = 0;
  while (!progress.stopped.signal.aborted) {
    const chunk = bytes.subarray(offset, offset + CHUNK_BYTES);
    const sentAt = clock.monotonic();
    const reply = await peer.installSnapshot(
      {
        group,
        to: progress.member.incarnation,
        term,
        leader,
        index: metadata.index,
        totalBytes: bytes.length,
        offset,
        data: chunk.toString('base64'),
      },
      INSTALL_TIMEOUT_MS,
    );
    if (!recordReply(options, progress, {reply, sentAt})) return;
    if (reply.installed) {
      progress.needsSnapshot = false;
      progress.matchIndex = Math.max(progress.matchIndex, metadata.index);
      progress.nextIndex = progress.matchIndex + 1;
      options.onProgress();
      return;
    }
    offset = Math.min(reply.received, bytes.length);
    if (offset === bytes.length) offset = 0;
  }
}

/** Notes that the peer answered; false when the answer ends this term. */
function recordReply(
  options: PeerReplicatorOptions,
  progress: PeerProgress,
  {reply, sentAt}: {reply: AppendReply | InstallReply; sentAt: number},
): boolean {
  if (progress.stopped.signal.aborted) return false;
  if (reply.term > options.term) {
    options.onLaterTerm(reply.term);
    return false;
  }
  progress.lastContactAt = Math.max(progress.lastContactAt, sentAt);
  return true;
}
