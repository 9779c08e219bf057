/**
 * The HTTP server for callers.
 *
 * Node's strict parser refuses duplicate `Content-Length` headers, a
 * `Content-Length` next to chunked encoding and malformed chunks, which
 * prevents request smuggling. A request is read whole before it is forwarded.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {
  computeLargestRequest,
  MAX_HEADER_BYTES,
} from '../../coordination/memory_account/compute_bounds.ts';
import {computeLargestHeaderCost} from '../../coordination/memory_account/header_cost.ts';
import {MemoryAccount} from '../../coordination/memory_account/memory_account.ts';
import type {Call} from '../../coordination/forwarding/call.ts';
import {refuseCall} from '../../coordination/forwarding/refuse.ts';
import type {CallerSink} from '../../coordination/forwarding/call.ts';
import {BodyDigest} from '../../coordination/quarantine/request_identity.ts';
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {RequestLimits} from '../../protocol/route_table.ts';
import type {CallCodec} from './call_codec.ts';
import {createCallerSink} from './caller_sink.ts';
import {dropRelayed, readRelayed} from './gateway_client.ts';
import {createFindHeader, dropHopByHop, pairHeaders} from './headers.ts';
import {
  MEMORY_RETRY_AFTER_S,
  readBody,
  type BodyError,
} from '../public/read_body.ts';
import {startListening} from '../http_server.ts';
import {ConnectionGuard} from '../memory/connection_guard.ts';
import {findGuarded} from '../memory/guarded_request.ts';
import {OpenAnswers} from '../open_answers.ts';

/** How often connection timeouts are checked. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/** Maximum number of connections in the listen backlog. */
const BACKLOG = 1_024;

/**
 * Added to the idle timeout before the server closes a connection. Callers
 * reuse connections for four fifths of the idle timeout only.
 */
const IDLE_MARGIN_MS = 1_000;

/** Limits in force until a configuration sets others. */
const DEFAULT_LIMITS: RequestLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** The limit of Node's parser for a request line and a header section. */
const MAX_HEAD_BYTES = 2 * MAX_HEADER_BYTES + 1024;

export interface FrontServerOptions {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly codec: CallCodec;
  /** Accounts for connections and bodies; they are not counted by default. */
  readonly memory?: MemoryAccount;
  /** Unbounded by default. */
  readonly maxConnections?: number | undefined;
  /** The secret shared by all daemons; by default no gateway relays requests. */
  readonly secret?: string;
  readonly forward: (call: Call, sink: CallerSink) => Promise<void>;
  /**
   * Whether the digests of bodies are likely to be needed. They are computed as
   * the bodies arrive then; by default when they are first needed.
   */
  readonly needsDigest?: () => boolean;
}

/** A listening server for callers. */
export interface FrontServer extends AsyncDisposable {
  /** Applies the limits of a configuration. */
  setLimits(limits: RequestLimits): void;
  /** Makes the answer to each further request close its connection. */
  startClosing(): void;
  /** Closes the connections without an open request. */
  closeIdleConnections(): void;
  /** The number of open requests. */
  readonly openRequests: number;
  /** Whether an ordinary connection and its request would be accepted. */
  readonly hasRoom: boolean;
}

/** Starts the server. Dispose the result to stop it. */
export async function startFrontServer(
  options: FrontServerOptions,
): Promise<FrontServer> {
  const {host, port, clock, logger} = options;
  let limits = DEFAULT_LIMITS;
  let isClosing = false;
  const server = createServer({
    headersTimeout: limits.headerTimeoutMs,
    requestTimeout: 0,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    keepAliveTimeout: limits.idleTimeoutMs + IDLE_MARGIN_MS,
    maxHeaderSize: MAX_HEAD_BYTES,
    noDelay: true,
  });
  const answers = new OpenAnswers(server);
  const {maxConnections} = options;
  const memory =
    options.memory ?? new MemoryAccount({clock, budgetBytes: Infinity});
  const guard = new ConnectionGuard(server, {
    memory,
    maxConnections,
    getMaxHeaderBytes: () => Math.min(limits.maxHeaderBytes, MAX_HEADER_BYTES),
  });
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    if (!guard.admit(request, response)) return;
    if (isClosing) response.setHeader('Connection', 'close');
    serveRequest(options, limits, {request, response}).catch(error => {
      const {message: reason} = error as Error;
      logger.error('Fails a request: an unexpected error was thrown.', {
        reason,
        path: request.url,
      });
      // It is unknown whether the request ran.
      if (response.headersSent) response.destroy();
      else refuseCall(createCallerSink(response), {reason: 'broken'});
    });
  });
  server.on('connect', (_request, socket) => socket.destroy());
  await startListening(server, {host, port, backlog: BACKLOG});
  return {
    get openRequests() {
      return answers.count;
    },
    get hasRoom() {
      return guard.hasRoom;
    },
    setLimits(next) {
      limits = next;
      memory.ensureFits(
        computeLargestRequest(next.maxBodyBytes) +
          computeLargestHeaderCost(next.maxHeaderBytes),
      );
      server.headersTimeout = next.headerTimeoutMs;
      server.keepAliveTimeout = next.idleTimeoutMs + IDLE_MARGIN_MS;
    },
    startClosing() {
      isClosing = true;
    },
    closeIdleConnections: () => answers.closeIdleConnections(),
    async [Symbol.asyncDispose]() {
      isClosing = true;
      await answers.closeServer(clock);
      guard[Symbol.dispose]();
    },
  };
}

interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

async function serveRequest(
  {clock, logger, codec, secret, forward, needsDigest}: FrontServerOptions,
  limits: RequestLimits,
  {request, response}: Exchange,
): Promise<void> {
  const receivedAt = clock.monotonic();
  const disconnected = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) disconnected.abort('left');
  });
  const sink = createCallerSink(response);
  const path = request.url ?? '';
  if (!path.startsWith('/')) {
    response.setHeader('Connection', 'close');
    sink.answer(400, [], Buffer.alloc(0));
    return;
  }
  const digest = new BodyDigest({isEager: needsDigest?.() ?? false});
  const body = await readBody(request, {
    maxBytes: limits.maxBodyBytes,
    onChunk: chunk => digest.add(chunk),
  });
  if (disconnected.signal.aborted) return;
  if (!body.ok) {
    response.setHeader('Connection', 'close');
    refuseBody(sink, body.error);
    return;
  }
  const headers = dropHopByHop(pairHeaders(request.rawHeaders));
  const find = createFindHeader(headers);
  const method = request.method ?? 'GET';
  const host = find('host') ?? '';
  const facts = codec.decodeCall(find);
  const relayed = readRelayed(find, {secret, method, path, host, facts});
  if (!relayed.ok) {
    const {attemptId} = facts;
    logger.warn('Refuses a request that no gateway relayed: invalid proof.', {
      request: attemptId,
    });
    refuseCall(sink, {reason: 'bad-request'});
    return;
  }
  // The body is held for further attempts, also when its caller has left.
  const release = findGuarded(request)?.retain();
  const forwarded = forward(
    {
      method,
      path,
      host,
      headers: dropRelayed(headers),
      body: body.value,
      digestBody: () => digest.compute(body.value),
      facts,
      relayed: relayed.value ?? undefined,
      receivedAt,
      signal: disconnected.signal,
    },
    sink,
  );
  await forwarded.finally(() => release?.());
}

/** Refuses a request whose body was not read; it has not run. */
function refuseBody(sink: CallerSink, {status}: BodyError): void {
  switch (status) {
    case 413:
      refuseCall(sink, {reason: 'too-large'});
      return;
    case 503:
      refuseCall(sink, {
        reason: 'no-room',
        retryAfterMs: MEMORY_RETRY_AFTER_S * 1_000,
      });
      return;
    default:
      refuseCall(sink, {reason: 'bad-request'});
  }
}
