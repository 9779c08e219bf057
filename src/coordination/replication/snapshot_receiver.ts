/** Assembles a snapshot from the chunks that a leader sends. */
import type {InstallRequest} from '../../protocol/replication.ts';
import type {Snapshot} from '../../state/log/log_storage.ts';
import {decodeSnapshot} from '../../state/snapshot/snapshot_codec.ts';

/** The largest snapshot that is accepted. */
const MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024;

/** A complete snapshot, decoded and as stored. */
export interface ReceivedSnapshot {
  readonly snapshot: Snapshot;
  readonly bytes: Buffer;
}

/** Holds the chunks of one snapshot at a time. */
export class SnapshotReceiver {
  private key = '';
  private chunks: Buffer[] = [];
  private receivedBytes = 0;

  /** The number of bytes received so far. */
  get received(): number {
    return this.receivedBytes;
  }

  /**
   * Adds a chunk if it continues the previous one; ignores it otherwise.
   * Returns the snapshot once it is complete.
   */
  addChunk(request: InstallRequest): ReceivedSnapshot | null {
    const {term, leader, index, totalBytes, offset} = request;
    const key = [term, leader, index, totalBytes].join('/');
    if (key !== this.key) this.clear();
    this.key = key;
    if (totalBytes > MAX_SNAPSHOT_BYTES) return null;
    if (offset !== this.receivedBytes) return null;
    const chunk = Buffer.from(request.data, 'base64');
    this.chunks.push(chunk);
    this.receivedBytes += chunk.length;
    if (this.receivedBytes < totalBytes) return null;
    const bytes = Buffer.concat(this.chunks);
    this.clear();
    const snapshot = decodeSnapshot(bytes);
    return snapshot && {snapshot, bytes};
  }

  /** Discards all chunks. */
  clear(): void {
    this.key = '';
    this.chunks = [];
    this.receivedBytes = 0;
  }
}
