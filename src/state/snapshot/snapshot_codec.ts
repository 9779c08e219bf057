/** Encodes a snapshot as one frame, whose checksum covers all of it. */
import {encodeFrame, readFrames} from '../log/frames.ts';
import type {Snapshot} from '../log/log_storage.ts';

/** Encodes a snapshot; later changes to the state do not affect the bytes. */
export function encodeSnapshot(snapshot: Snapshot): Buffer {
  return encodeFrame(snapshot);
}

/** Decodes a snapshot; returns `null` if the bytes are not a valid one. */
export function decodeSnapshot(bytes: Buffer): Snapshot | null {
  const {frames, state} = readFrames(bytes);
  if (state !== 'whole' || frames.length !== 1) return null;
  return (frames[0]?.body as Snapshot | undefined) ?? null;
}
