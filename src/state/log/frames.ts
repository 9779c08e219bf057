/**
 * The frame format of files in the data folder.
 *
 * A frame consists of magic bytes, the length of its body, a checksum of
 * length and body, and the body in MessagePack. Each write is one frame, so
 * only the last frame of a file can be torn.
 */
import {crc32} from 'node:zlib';
import {decode, encode} from '@msgpack/msgpack';

/** The first bytes of each frame. */
const MAGIC = Buffer.from([0xf5, 0x70, 0x6c, 0x31]);

/** Size of the magic bytes, length and checksum. */
const HEADER_BYTES = 12;

export interface Frame {
  readonly body: unknown;
  /** The byte offset after the frame. */
  readonly end: number;
}

/** The result of reading the frames of a file. */
export interface FrameScan {
  readonly frames: readonly Frame[];
  /** The byte offset after the last valid frame. */
  readonly end: number;
  /** `torn` if invalid bytes end the file, `damaged` if frames follow them. */
  readonly state: 'whole' | 'torn' | 'damaged';
}

export function encodeFrame(value: unknown): Buffer {
  const body = encode(value, {ignoreUndefined: true});
  const frame = Buffer.alloc(HEADER_BYTES + body.length);
  MAGIC.copy(frame, 0);
  frame.writeUInt32BE(body.length, 4);
  frame.set(body, HEADER_BYTES);
  frame.writeUInt32BE(computeChecksum(frame, 0, frame.length), 8);
  return frame;
}

/** Reads frames up to the first invalid one. */
export function readFrames(bytes: Buffer): FrameScan {
  const frames: Frame[] = [];
  let end = 0;
  while (end < bytes.length) {
    const frame = readFrame(bytes, end);
    if (!frame) {
      return {
        frames,
        end,
        state: hasFrameAfter(bytes, end) ? 'damaged' : 'torn',
      };
    }
    frames.push(frame);
    end = frame.end;
  }
  return {frames, end, state: 'whole'};
}

function readFrame(bytes: Buffer, start: number): Frame | null {
  const end = findFrameEnd(bytes, start);
  if (end === null) return null;
  return {body: decode(bytes.subarray(start + HEADER_BYTES, end)), end};
}

/** Returns the offset after the frame at `start`; `null` if it is invalid. */
function findFrameEnd(bytes: Buffer, start: number): number | null {
  if (start + HEADER_BYTES > bytes.length) return null;
  if (MAGIC.compare(bytes, start, start + MAGIC.length) !== 0) return null;
  const end = start + HEADER_BYTES + bytes.readUInt32BE(start + 4);
  if (end > bytes.length) return null;
  const expected = bytes.readUInt32BE(start + 8);
  return computeChecksum(bytes, start, end) === expected ? end : null;
}

function hasFrameAfter(bytes: Buffer, start: number): boolean {
  let next = bytes.indexOf(MAGIC, start + 1);
  while (next !== -1) {
    if (findFrameEnd(bytes, next) !== null) return true;
    next = bytes.indexOf(MAGIC, next + 1);
  }
  return false;
}

function computeChecksum(bytes: Buffer, start: number, end: number): number {
  const length = bytes.subarray(start + 4, start + 8);
  return crc32(bytes.subarray(start + HEADER_BYTES, end), crc32(length));
}
