/** Reads a request's body with a size limit and a timeout. */
import type {IncomingMessage} from 'node:http';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';

/** Maximum size of a body. */
export const MAX_BODY_BYTES = 2 * 1024 * 1024;

/** Timeout for receiving a body. */
const BODY_TIMEOUT_MS = 10_000;

export interface BodyError {
  readonly status: number;
  readonly message: string;
  /** Whether the body has been read to its end. */
  readonly isRead?: boolean;
}

export interface ReadBodyOptions {
  readonly maxBytes?: number;
  /** A larger body is read, but not kept; `maxBytes` by default. */
  readonly maxKeptBytes?: number;
  readonly timeoutMs?: number;
  /** Called with each chunk as it arrives. */
  readonly onChunk?: (chunk: Buffer) => void;
}

/** Reads the whole body; the error says why it is refused. */
export function readBody(
  request: IncomingMessage,
  options: ReadBodyOptions = {},
): Promise<Outcome<Buffer, BodyError>> {
  const {maxBytes = MAX_BODY_BYTES, timeoutMs = BODY_TIMEOUT_MS} = options;
  const {maxKeptBytes = maxBytes, onChunk} = options;
  const tooLarge = {status: 413, message: 'the body is too large'};
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    return Promise.resolve(fail(tooLarge));
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const finish = (outcome: Outcome<Buffer, BodyError>) => {
      clearTimeout(timer);
      request.off('data', addChunk);
      if (!outcome.ok) chunks.length = 0;
      resolve(outcome);
    };
    const addChunk = (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) return finish(fail(tooLarge));
      if (bytes > maxKeptBytes) {
        chunks.length = 0;
        return;
      }
      chunks.push(chunk);
      onChunk?.(chunk);
    };
    const timer = setTimeout(
      () => finish(fail({status: 408, message: 'the body came too slowly'})),
      timeoutMs,
    );
    request.on('data', addChunk);
    request.on('end', () =>
      finish(
        bytes > maxKeptBytes
          ? fail({...tooLarge, isRead: true})
          : succeed(Buffer.concat(chunks)),
      ),
    );
    request.on('error', error =>
      finish(fail({status: 400, message: error.message})),
    );
    request.on('close', () =>
      finish(fail({status: 400, message: 'the body was cut off'})),
    );
  });
}
