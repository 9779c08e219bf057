/**
 * Takes the requests of callers.
 *
 * Node's parser is strict: a request with two lengths, a length beside chunks
 * or malformed chunks is refused, so none can hide inside another. A request
 * is read whole before it goes on.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {Call} from '../../coordination/forwarding/call.ts';
import {refuseCall} from '../../coordination/forwarding/refuse.ts';
import type {CallerSink} from '../../coordination/forwarding/call.ts';
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {RequestLimits} from '../../protocol/route_table.ts';
import type {CallCodec} from './call_codec.ts';
import {createCallerSink} from './caller_sink.ts';
import {createFindHeader, dropHopByHop, pairHeaders} from './headers.ts';
import {readBody} from '../public/read_body.ts';
import {closeServer, startListening} from '../http_server.ts';

/** How often timeouts of connections are looked at. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/** The most headers of a request. */
const MAX_HEADERS = 200;

/** How many connections may wait to be accepted. */
const BACKLOG = 1_024;

/** How long the last open requests may take once a server closes, in ms. */
const CLOSE_GRACE_MS = 300;

/** Callers reuse connections for four fifths of the idle limit. */
const IDLE_MARGIN_MS = 1_000;

/** Limits that hold until a configuration names others. */
const DEFAULT_LIMITS: RequestLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Node refuses larger headers itself. */
const MAX_HEADER_BYTES = 64 * 1024;

export interface FrontServerOptions {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly codec: CallCodec;
  readonly forward: (call: Call, sink: CallerSink) => Promise<void>;
}

/** A listening server of callers. */
export interface FrontServer extends AsyncDisposable {
  /** Puts the limits of a configuration in force. */
  setLimits(limits: RequestLimits): void;
  /** From now on each answer ends its connection. */
  startClosing(): void;
  /** Closes connections without a request. */
  closeIdleConnections(): void;
  /** How many requests are open. */
  readonly openRequests: number;
}

/** Starts to listen. */
export async function startFrontServer(
  options: FrontServerOptions,
): Promise<FrontServer> {
  const {host, port, clock, logger} = options;
  let limits = DEFAULT_LIMITS;
  let isClosing = false;
  let openRequests = 0;
  const server = createServer({
    headersTimeout: limits.headerTimeoutMs,
    requestTimeout: 0,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    keepAliveTimeout: limits.idleTimeoutMs + IDLE_MARGIN_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
    noDelay: true,
  });
  server.maxHeadersCount = MAX_HEADERS;
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    openRequests++;
    response.once('close', () => openRequests--);
    if (isClosing) response.setHeader('Connection', 'close');
    serveRequest(options, limits, {request, response}).catch(error => {
      const {message: reason} = error as Error;
      logger.error('Could not serve a request.', {reason, path: request.url});
      // Nobody knows any more whether it ran.
      if (response.headersSent) response.destroy();
      else refuseCall(createCallerSink(response), {reason: 'broken'});
    });
  });
  server.on('connect', (_request, socket) => socket.destroy());
  await startListening(server, {host, port, backlog: BACKLOG});
  return {
    get openRequests() {
      return openRequests;
    },
    setLimits(next) {
      limits = next;
      server.headersTimeout = next.headerTimeoutMs;
      server.keepAliveTimeout = next.idleTimeoutMs + IDLE_MARGIN_MS;
    },
    startClosing() {
      isClosing = true;
    },
    closeIdleConnections: () => server.closeIdleConnections(),
    async [Symbol.asyncDispose]() {
      isClosing = true;
      // Requests that were accepted just before are answered, too.
      const stopped = new AbortController();
      await closeServer(server, {
        waitForRequests: () => clock.sleep(CLOSE_GRACE_MS, stopped.signal),
      });
      stopped.abort('closed');
    },
  };
}

interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

async function serveRequest(
  {clock, codec, forward}: FrontServerOptions,
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
  const isHeaderTooLarge = countHeaderBytes(request) > limits.maxHeaderBytes;
  if (isHeaderTooLarge || !path.startsWith('/')) {
    response.setHeader('Connection', 'close');
    sink.answer(isHeaderTooLarge ? 431 : 400, [], Buffer.alloc(0));
    return;
  }
  const body = await readBody(request, {maxBytes: limits.maxBodyBytes});
  if (disconnected.signal.aborted) return;
  if (!body.ok) {
    response.setHeader('Connection', 'close');
    const isTooLarge = body.error.status === 413;
    refuseCall(sink, {reason: isTooLarge ? 'too-large' : 'bad-request'});
    return;
  }
  const headers = dropHopByHop(pairHeaders(request.rawHeaders));
  const find = createFindHeader(headers);
  await forward(
    {
      method: request.method ?? 'GET',
      path,
      host: find('host') ?? '',
      headers,
      body: body.value,
      facts: codec.decodeCall(find),
      receivedAt,
      signal: disconnected.signal,
    },
    sink,
  );
}

function countHeaderBytes({rawHeaders}: IncomingMessage): number {
  // Each header also has a colon, a space and a line end.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
