/** Reads a request's body with a size limit and a timeout. */
import type {IncomingMessage} from 'node:http';
import type {MemoryHolder} from '../../coordination/memory_account/memory_account.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import {BodyBuffer} from '../memory/body_buffer.ts';
import {findGuarded} from '../memory/guarded_request.ts';

/** Maximum size of a body. */
export const MAX_BODY_BYTES = 2 * 1024 * 1024;

/** Timeout for receiving a body. */
const BODY_TIMEOUT_MS = 10_000;

/** When a caller that was refused for want of memory may come back, in s. */
export const MEMORY_RETRY_AFTER_S = 1;

/** The request did not run. */
const NO_MEMORY: BodyError = {
  status: 503,
  message: 'the memory for requests is used up',
  retryAfterMs: MEMORY_RETRY_AFTER_S * 1_000,
};

export interface BodyError {
  readonly status: number;
  readonly message: string;
  /** Whether the body has been read to its end. */
  readonly isRead?: boolean;
  /** When the caller may come back, in ms; absent if a repetition fails as well. */
  readonly retryAfterMs?: number;
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
    const buffer = new BodyBuffer();
    let bytes = 0;
    let memory: MemoryHolder | null = null;
    let isFinished = false;
    const reserve = (cost: number) => {
      memory ??=
        findGuarded(request)?.openBody(() => finish(fail(NO_MEMORY))) ?? null;
      return memory?.set(cost) ?? true;
    };
    const finish = (outcome: Outcome<Buffer, BodyError>) => {
      if (isFinished) return;
      isFinished = true;
      clearTimeout(timer);
      request.off('data', addChunk);
      request.off('end', join);
      if (!outcome.ok) {
        buffer.clear();
        memory?.release();
      }
      resolve(outcome);
    };
    const addChunk = (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) return finish(fail(tooLarge));
      if (bytes > maxKeptBytes) {
        buffer.clear();
        memory?.set(0);
        return;
      }
      if (!reserve(buffer.computeCost(chunk))) return finish(fail(NO_MEMORY));
      memory?.addProgress(chunk.length);
      buffer.add(chunk);
      onChunk?.(chunk);
    };
    const join = () => {
      if (bytes > maxKeptBytes) {
        return finish(fail({...tooLarge, isRead: true}));
      }
      const joinBytes = buffer.computeJoinCost();
      if (joinBytes > 0 && !reserve(buffer.costBytes + joinBytes)) {
        return finish(fail(NO_MEMORY));
      }
      // From here on the request may run, and must not be refused any more.
      memory?.setEviction('never');
      const body = buffer.join();
      if (joinBytes > 0) memory?.set(joinBytes);
      finish(succeed(body));
    };
    const timer = setTimeout(
      () => finish(fail({status: 408, message: 'the body came too slowly'})),
      timeoutMs,
    );
    request.on('data', addChunk);
    request.on('end', join);
    request.on('error', error =>
      finish(fail({status: 400, message: error.message})),
    );
    request.on('close', () =>
      finish(fail({status: 400, message: 'the body was cut off'})),
    );
  });
}
