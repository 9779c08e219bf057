/**
 * Sends requests to endpoints through connection pools.
 *
 * A request that must not run twice uses a new connection, because a failure on
 * a stale one would leave unknown whether the request ran. After a stall, the
 * endpoint's pool is replaced, since its other connections may be unresponsive,
 * too.
 */
import {Pool} from 'undici';
import type {
  AnswerFacts,
  AttemptOptions,
  AttemptOutcome,
  Call,
  Header,
} from '../../coordination/forwarding/call.ts';
import {FRAMING_HEADERS} from '../../coordination/forwarding/relay_events.ts';
import type {CallCodec} from './call_codec.ts';
import {createFindHeader, dropHopByHop, pairHeaders} from './headers.ts';
import {
  createStrictClient,
  InvalidStatusError,
  WithdrawnError,
} from './strict_client.ts';

/** Allows a 60 ms handshake across regions and one 1 s retransmission. */
const CONNECT_TIMEOUT_MS = 1_200;

/** Short: endpoints that advertise no timeout may close in a few seconds. */
const KEEP_ALIVE_TIMEOUT_MS = 2_000;

/** Closes idle connections this much before the advertised timeout. */
const KEEP_ALIVE_MARGIN_MS = 700;

/** Maximum number of bytes drained from the body of a not-run answer. */
const MAX_NOT_RUN_BODY_BYTES = 16 * 1024;

/** Bytes of a body that are buffered before its connection is held back. */
const BODY_BUFFER_BYTES = 16 * 1024;

/** Headers that undici writes itself or does not support. */
const REWRITTEN_HEADERS = new Set(['content-length', 'expect']);

/** Codes of errors that occur before a connection is open. */
const CONNECT_ERROR_CODES = new Set([
  'UND_ERR_CONNECT_TIMEOUT',
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'EMFILE',
  'ERR_INVALID_URL',
]);

/** What the client needs to know of an attempt. */
export type SendOptions = Pick<
  AttemptOptions,
  'mayReuseConnection' | 'mayBegin' | 'signal'
> & {readonly endpoint: {readonly address: string}};

export interface EndpointClientOptions<O> {
  readonly codec: Pick<
    CallCodec,
    'gatewayOnlyAnswerHeaders' | 'decodeAnswer'
  > & {
    /** Creates the headers of an attempt. */
    readonly encodeAttempt: (call: Call, options: O) => readonly Header[];
  };
}

/** Manages the connections of a gateway to its endpoints. */
export class EndpointClient<
  O extends SendOptions = AttemptOptions,
> implements AsyncDisposable {
  private readonly pools = new Map<string, Pool>();

  constructor(private readonly options: EndpointClientOptions<O>) {}

  /** Sends one attempt; resolves once the answer's headers arrived. */
  async send(call: Call, options: O): Promise<AttemptOutcome> {
    const {codec} = this.options;
    const {endpoint, mayReuseConnection, mayBegin, signal} = options;
    const key = `${endpoint.address}${mayReuseConnection ? '' : '/single'}`;
    let pool: Pool;
    try {
      pool = this.findOrCreatePool(key, endpoint.address);
    } catch (error) {
      return explainFailure(error as NodeJS.ErrnoException, signal);
    }
    const handleAbort = () => {
      if (signal.reason === 'stall') this.retire(key, pool);
    };
    signal.addEventListener('abort', handleAbort, {once: true});
    try {
      const response = await pool.request({
        // Read by the strict client; not part of undici's types.
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
        highWaterMark: BODY_BUFFER_BYTES,
        // The gateway applies its own timeouts.
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      // Destroying a body emits an error; readers receive errors anyway.
      response.body.on('error', () => {});
      const raw = response.headers as unknown as readonly string[];
      const sent = pairHeaders(raw.map(String));
      const received = dropHopByHop(sent);
      const status = response.statusCode;
      const facts = codec.decodeAnswer(status, createFindHeader(received));
      if (facts.isNotRun && isOfAnother(call, facts)) {
        // What follows on the connection answers other requests, too.
        response.body.destroy();
        this.retire(key, pool);
        const reason = 'the refusal belongs to another request';
        return {type: 'invalid', reason};
      }
      if (facts.isNotRun) {
        // The body is not needed; draining it frees the connection.
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
          isDelimited: sent.some(([name]) =>
            FRAMING_HEADERS.has(name.toLowerCase()),
          ),
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

  /** Stops using a pool; its open requests continue. */
  private retire(key: string, pool: Pool): void {
    if (this.pools.get(key) === pool) this.pools.delete(key);
    // Resolves once the last request has ended; not awaited.
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
  const isInvalid =
    error instanceof InvalidStatusError ||
    (code.startsWith('HPE_') && code !== 'HPE_INVALID_EOF_STATE');
  return {
    type: isInvalid ? 'invalid' : 'broken',
    reason: `${code}: ${error.message}`,
  };
}

/** Whether an answer names a request other than the one that was sent. */
function isOfAnother({facts}: Call, {attemptId}: AnswerFacts): boolean {
  return attemptId !== null && attemptId !== facts.attemptId;
}
