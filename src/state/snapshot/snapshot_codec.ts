/** Encodes snapshots. A snapshot is one frame, so its checksum covers it. */
import {encodeFrame, readFrames} from '../log/frames.ts';
import type {Snapshot} from '../log/log_storage.ts';

/** Encodes a snapshot; later changes of its state do not show in it. */
export function encodeSnapshot(snapshot: Snapshot): Buffer {
  return encodeFrame(snapshot);
}

/** Decodes a snapshot; `null` when the bytes are not a whole one. */
export function decodeSnapshot(bytes: Buffer): Snapshot | null {
  const {frames, state} = readFrames(bytes);
  if (state !== 'whole' || frames.length !== 1) return null;
  return (frames[0]?.body as Snapshot | undefined) ?? null;
}
