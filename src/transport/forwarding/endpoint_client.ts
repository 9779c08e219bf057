/**
 * Sends requests to endpoints through pools of connections.
 *
 * What must not run twice goes over a connection of its own, so that a
 * connection that went stale cannot leave open whether it ran. After a stall
 * the pool of the endpoint is replaced, since its other connections may have
 * gone silent too.
 */
import {Pool} from 'undici';
import type {
  AttemptOptions,
  AttemptOutcome,
  Call,
} from '../../coordination/forwarding/call.ts';
import type {CallCodec} from './call_codec.ts';
import {createFindHeader, dropHopByHop, pairHeaders} from './headers.ts';
import {createStrictClient, WithdrawnError} from './strict_client.ts';

/** A handshake across regions takes 60 ms; one lost packet costs 1 s more. */
const CONNECT_TIMEOUT_MS = 1_200;

/** Endpoints that announce no timeout may close after a few seconds. */
const KEEP_ALIVE_TIMEOUT_MS = 2_000;

/** How much sooner than announced an idle connection is closed. */
const KEEP_ALIVE_MARGIN_MS = 700;

/** What is read of the body of an answer that says not run, in bytes. */
const MAX_NOT_RUN_BODY_BYTES = 16 * 1024;

/** Headers that the client writes itself. */
const REWRITTEN_HEADERS = new Set(['content-length', 'expect']);

/** Failures that happen before a connection is open. */
const CONNECT_ERROR_CODES = new Set([
  'UND_ERR_CONNECT_TIMEOUT',
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'EMFILE',
]);

export interface EndpointClientOptions {
  readonly codec: CallCodec;
}

/** Holds the connections of one gateway to its endpoints. */
export class EndpointClient implements AsyncDisposable {
  private readonly pools = new Map<string, Pool>();

  constructor(private readonly options: EndpointClientOptions) {}

  /** Sends one attempt; resolves once the headers of the answer came. */
  async send(call: Call, options: AttemptOptions): Promise<AttemptOutcome> {
    const {codec} = this.options;
    const {endpoint, mayReuseConnection, mayBegin, signal} = options;
    const key = `${endpoint.address}${mayReuseConnection ? '' : '/single'}`;
    const pool = this.findOrCreatePool(key, endpoint.address);
    const handleAbort = () => {
      if (signal.reason === 'stall') this.retire(key, pool);
    };
    signal.addEventListener('abort', handleAbort, {once: true});
    try {
      const response = await pool.request({
        // The strict client asks it; undici's own types do not know it.
        ...{mayBegin},
        method: call.method as 'GET',
        path: call.path,
        headers: codec
          .encodeAttempt(call, options)
          .filter(([name]) => !REWRITTEN_HEADERS.has(name.toLowerCase()))
          .flat(),
        body: call.body.length > 0 || call.method === 'POST' ? call.body : null,
        reset: !mayReuseConnection,
        signal,
        responseHeaders: 'raw',
        // The gateway's own watchdogs end what takes too long.
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      // A body that is dropped reports it as an error; readers see it anyway.
      response.body.on('error', () => {});
      const raw = response.headers as unknown as readonly string[];
      const received = dropHopByHop(pairHeaders(raw.map(String)));
      const status = response.statusCode;
      const facts = codec.decodeAnswer(status, createFindHeader(received));
      if (facts.isNotRun) {
        // Its status says it all; what follows only frees the connection.
        response.body.dump({limit: MAX_NOT_RUN_BODY_BYTES}).catch(() => {});
        return {type: 'not-run', status, facts};
      }
      const headers = received.filter(
        ([name]) => !codec.gatewayOnlyAnswerHeaders.has(name.toLowerCase()),
      );
      return {
        type: 'answer',
        answer: {
          status,
          headers,
          facts,
          body: response.body,
          cancel: () => void response.body.destroy(),
        },
      };
    } catch (error) {
      return explainFailure(error as NodeJS.ErrnoException, signal);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  private findOrCreatePool(key: string, address: string): Pool {
    const known = this.pools.get(key);
    if (known) return known;
    const pool = new Pool(`http://${address}`, {
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS, noDelay: true},
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      maxHeaderSize: 64 * 1024,
      factory: createStrictClient,
    });
    this.pools.set(key, pool);
    return pool;
  }

  /** Lets open requests end and sends no more over these connections. */
  private retire(key: string, pool: Pool): void {
    if (this.pools.get(key) === pool) this.pools.delete(key);
    // It resolves when the last request has ended; nothing waits for it.
    void pool.close().catch(() => {});
  }
}

function explainFailure(
  error: NodeJS.ErrnoException,
  signal: AbortSignal,
): AttemptOutcome {
  if (error instanceof WithdrawnError) return {type: 'withdrawn'};
  const code = error.code ?? error.name;
  const isConnect =
    error.syscall === 'connect' || CONNECT_ERROR_CODES.has(code);
  if (isConnect) return {type: 'not-sent', reason: code};
  if (signal.aborted) return {type: 'aborted'};
  return {type: 'broken', reason: `${code}: ${error.message}`};
}
