/** Serves small JSON APIs: for endpoints, operators, look-ups and checks. */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import polka from 'polka';
import type {MemoryAccount} from '../../coordination/memory_account/memory_account.ts';
import type {Logger} from '../../protocol/logger.ts';
import {MEMORY_RETRY_AFTER_S, readBody} from '../public/read_body.ts';
import {closeServer, startListening} from '../http_server.ts';
import {ConnectionGuard} from '../memory/connection_guard.ts';
import {findGuarded} from '../memory/guarded_request.ts';

/** Maximum size of a body that is kept by default. */
const MAX_KEPT_BYTES = 64 * 1024;

/** Maximum size of a body that is read to its end without being kept. */
const MAX_DROPPED_BYTES = 1024 * 1024;

/** The time-outs for the headers and for a whole request, and their checks. */
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** How long an idle connection is kept open. */
const KEEP_ALIVE_TIMEOUT_MS = 10_000;

/** Maximum number of connections in the listen backlog. */
const BACKLOG = 512;

/** The parsed parts of a request. */
export interface ApiCall {
  readonly params: Readonly<Record<string, string>>;
  readonly query: Readonly<Record<string, string>>;
  /** Empty if the body was too large to be kept. */
  readonly body: string;
  /** Whether the body was too large; false by default. */
  readonly isTooLarge?: boolean;
  /** The address that the caller connected from; absent if it is unknown. */
  readonly callerAddress?: string | undefined;
  /** Aborts when the caller has left without the reply. */
  readonly signal: AbortSignal;
}

export interface ApiReply {
  readonly status: number;
  /** Sent as JSON; the body is empty by default. */
  readonly json?: unknown;
  /** Sent unchanged; takes precedence over `json`. */
  readonly text?: string;
  /** The media type; JSON by default. */
  readonly type?: string;
}

/** A route of an API. */
export interface ApiRoute {
  readonly method: 'GET' | 'POST';
  /** A pattern such as `/things/:id`. */
  readonly path: string;
  /** Maximum size of a body that is kept; 64 KiB by default. */
  readonly maxBodyBytes?: number;
  readonly handle: (call: ApiCall) => Promise<ApiReply>;
}

export interface ApiServerOptions {
  readonly host: string;
  readonly port: number;
  readonly logger: Logger;
  readonly routes: readonly ApiRoute[];
  /** Accounts for connections and bodies; they are not counted by default. */
  readonly memory?: MemoryAccount;
  /** Unbounded by default. */
  readonly maxConnections?: number | undefined;
}

/** Starts the server. Dispose the result to close every connection. */
export async function startApiServer({
  host,
  port,
  logger,
  routes,
  memory,
  maxConnections,
}: ApiServerOptions): Promise<AsyncDisposable> {
  const server = createServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    noDelay: true,
  });
  const app = polka({server});
  for (const route of routes) {
    const {method, path} = route;
    app.add(method, path, (request, response) => {
      const {params} = request as {params: Record<string, string>};
      serveCall(request, response, {...route, params}).catch(error => {
        const {message: reason} = error as Error;
        logger.error('Fails an API call: an unexpected error was thrown.', {
          path,
          reason,
        });
        if (!response.headersSent) response.writeHead(500);
        response.end();
      });
    });
  }
  const guard = memory
    ? new ConnectionGuard(server, {memory, maxConnections})
    : null;
  const handle = app.handler as (...args: unknown[]) => void;
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    if (!guard || guard.admit(request, response)) handle(request, response);
  });
  await startListening(server, {host, port, backlog: BACKLOG});
  return {
    async [Symbol.asyncDispose]() {
      await closeServer(server);
      guard?.[Symbol.dispose]();
    },
  };
}

async function serveCall(
  request: IncomingMessage,
  response: ServerResponse,
  route: ApiRoute & Pick<ApiCall, 'params'>,
): Promise<void> {
  const left = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) left.abort('left');
  });
  const {params, maxBodyBytes = MAX_KEPT_BYTES} = route;
  const body = await readBody(request, {
    maxBytes: Math.max(maxBodyBytes, MAX_DROPPED_BYTES),
    maxKeptBytes: maxBodyBytes,
  });
  if (!body.ok && !body.error.isRead) {
    refuseBody(response, body.error.status);
    return;
  }
  // The text of the body is held beside its bytes.
  const guarded = findGuarded(request);
  if (body.ok && guarded?.grow(body.value.length) === false) {
    refuseBody(response, 503);
    return;
  }
  const url = new URL(request.url ?? '/', 'http://surface');
  const reply = await route.handle({
    params,
    query: Object.fromEntries(url.searchParams),
    body: body.ok ? body.value.toString('utf8') : '',
    isTooLarge: !body.ok,
    callerAddress: request.socket.remoteAddress,
    signal: left.signal,
  });
  const text =
    reply.text ?? (reply.json === undefined ? '' : JSON.stringify(reply.json));
  const length = Buffer.byteLength(text);
  // The call has run, so that a refusal would not be true.
  if (guarded?.holdAnswer(length) === false) {
    response.destroy();
    return;
  }
  response.writeHead(reply.status, {
    'Content-Type': reply.type ?? 'application/json',
    'Content-Length': length,
  });
  response.end(text);
}

/** Refuses a request whose body was not read; it has not run. */
function refuseBody(response: ServerResponse, status: number): void {
  const retryAfter = {'Retry-After': String(MEMORY_RETRY_AFTER_S)};
  response.writeHead(status, {
    Connection: 'close',
    ...(status === 503 ? retryAfter : {}),
  });
  response.end();
}
