/** Replicates the leader's log to one peer. */
import type {Clock} from '../../protocol/clock.ts';
import type {
  AppendReply,
  InstallReply,
  Member,
  ReplicationService,
  SilentMember,
} from '../../protocol/replication.ts';
import type {LogStorage} from '../../state/log/log_storage.ts';
import type {PeerProgress} from './leadership.ts';

/** Interval between empty appends to a voter with nothing to replicate. */
export const HEARTBEAT_MS = 200;

/**
 * The same for a learner: shorter than the time after which a member without
 * contact to a leader no longer counts as up to date.
 */
export const LEARNER_HEARTBEAT_MS = 600;

/** A member counts as reachable if it replied within this time. */
export const REACHABLE_MS = 1_000;

/** Timeout for one append. */
const APPEND_TIMEOUT_MS = 600;

/** Timeout for one chunk of a snapshot. */
const INSTALL_TIMEOUT_MS = 1_500;

/** The maximum number of entries per append. */
const MAX_APPEND_ENTRIES = 512;

/** No further entry is added to an append that has reached this size. */
const APPEND_SOFT_LIMIT_BYTES = 128 * 1024;

/**
 * The first and the largest size of a snapshot chunk, 26 and 105 ms on a link of
 * 20 Mb/s: a larger one would hold up the heartbeats on the same link.
 */
const MIN_CHUNK_BYTES = 64 * 1024;
const MAX_CHUNK_BYTES = 256 * 1024;

/** Chunks grow while they are acknowledged within this time. */
const FAST_CHUNK_MS = 400;

/**
 * Calls from one replica to another. A rejected promise is treated as no
 * reply.
 */
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
  /** Returns the interval between empty appends, in ms. */
  readonly getHeartbeatMs: () => number;
  /** Lists the voters that do not answer. */
  readonly listSilent: () => readonly SilentMember[];
  /** Lists the members whose start explains a loss that was repaired. */
  readonly listKnownSuccessors: () => readonly Member[];
  /** Called after the peer has synced more entries. */
  readonly onProgress: () => void;
  /** Called when the peer reports a later term. */
  readonly onLaterTerm: (term: number) => void;
}

/**
 * Sends entries, snapshots and heartbeats to a peer until its progress is
 * stopped.
 */
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
      await progress.wake.wait(options.getHeartbeatMs());
    }
    if (signal.aborted) return;
    const triedAt = clock.monotonic();
    try {
      if (needsSnapshot(storage, progress))
        await sendSnapshot(options, progress);
      else await sendEntries(options, progress);
    } catch {
      const elapsedMs = clock.monotonic() - triedAt;
      await clock.sleep(Math.max(0, HEARTBEAT_MS - elapsedMs), signal);
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
  const commitIndex = options.getCommitIndex();
  const silent = options.listSilent();
  const knownSuccessors = options.listKnownSuccessors();
  const reply = await peer.append(
    {
      group,
      to: progress.member.incarnation,
      term,
      leader,
      previousIndex,
      previousTerm: storage.getTerm(previousIndex) ?? 0,
      entries: storage.read(progress.nextIndex, last, APPEND_SOFT_LIMIT_BYTES),
      commitIndex,
      ...(silent.length > 0 ? {silent: [...silent]} : {}),
      ...(knownSuccessors.length > 0
        ? {knownSuccessors: [...knownSuccessors]}
        : {}),
    },
    APPEND_TIMEOUT_MS,
  );
  if (!recordReply(options, progress, {reply, sentAt})) return;
  if (!reply.formed) {
    progress.needsSnapshot = true;
  } else if (reply.accepted) {
    progress.matchIndex = Math.max(progress.matchIndex, reply.matchIndex);
    progress.nextIndex = progress.matchIndex + 1;
    if (progress.matchIndex >= commitIndex) progress.caughtUpAt = sentAt;
    options.onProgress();
  } else {
    progress.nextIndex = Math.max(1, reply.matchIndex + 1);
  }
}

/** Sends the snapshot in chunks, resuming at the offset the peer reports. */
async function sendSnapshot(
  options: PeerReplicatorOptions,
  progress: PeerProgress,
): Promise<void> {
  const {storage, clock, group, leader, term, peer} = options;
  const bytes = await storage.readSnapshot();
  const metadata = storage.snapshot;
  if (!bytes || !metadata)
    throw new Error('Could not send a snapshot: none is stored');
  let offset = 0;
  let chunkBytes = MIN_CHUNK_BYTES;
  while (!progress.stopped.signal.aborted) {
    const chunk = bytes.subarray(offset, offset + chunkBytes);
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
    const isFast = clock.monotonic() - sentAt < FAST_CHUNK_MS;
    chunkBytes = isFast
      ? Math.min(MAX_CHUNK_BYTES, 2 * chunkBytes)
      : MIN_CHUNK_BYTES;
    offset = Math.min(reply.received, bytes.length);
    if (offset === bytes.length) offset = 0;
  }
}

/**
 * Records the contact with the peer. Returns false if the reply must be
 * ignored, because it reports a later term or replication has stopped.
 */
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
