/**
 * The HTTP server for callers, endpoints and operators.
 *
 * Time, size and number of connections are limited, so that slow or hostile
 * clients cannot starve the others.
 */
import {
  createServer,
  STATUS_CODES,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {MemoryAccount} from '../../coordination/memory_account/memory_account.ts';
import type {Clock} from '../../protocol/clock.ts';
import {createIdentifier} from '../../protocol/identifiers.ts';
import {
  createPublicHandler,
  type PublicHandlerOptions,
} from './create_public_handler.ts';
import {startListening} from '../http_server.ts';
import {ConnectionGuard} from '../memory/connection_guard.ts';
import {OpenAnswers} from '../open_answers.ts';
import type {HeadRefusal} from '../request_reader/refuse_head.ts';
import {describeError} from './http_errors.ts';
import {MEMORY_RETRY_AFTER_S} from './read_body.ts';

export type {WrapHandler, RouteHandler} from './create_public_handler.ts';

/** Timeout for receiving the headers of a request. */
const HEADERS_TIMEOUT_MS = 10_000;

/** Timeout for receiving a whole request. */
const REQUEST_TIMEOUT_MS = 20_000;

/** How often the two timeouts above are checked. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** How long an idle connection is kept open. */
const KEEP_ALIVE_TIMEOUT_MS = 15_000;

/** Maximum size of a request's headers. */
const MAX_HEADER_BYTES = 16 * 1024;

/** Maximum number of lines of a request's headers, the request line included. */
const MAX_HEADER_LINES = 101;

/** Maximum number of open connections. */
const MAX_CONNECTIONS = 10_000;

/** Maximum number of connections in the listen backlog. */
const MAX_PENDING_CONNECTIONS = 4_096;

/** Maximum number of open connections from one IP address. */
const MAX_CONNECTIONS_PER_ADDRESS = 4_000;

export interface PublicServerOptions extends Omit<
  PublicHandlerOptions,
  'trackWork'
> {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  /** Accounts for connections and bodies; they are not counted by default. */
  readonly memory?: MemoryAccount;
}

/** A listening server that tracks its open requests and handlers. */
export interface PublicServer extends AsyncDisposable {
  /** Closes the connections that have no request at the moment. */
  closeIdleConnections(): void;
  /** Resolves once no request is open and no handler is running. */
  waitUntilIdle(): Promise<void>;
}

/** Starts the server. Dispose the result to close every connection. */
export async function startPublicServer(
  options: PublicServerOptions,
): Promise<PublicServer> {
  const server = createServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
    noDelay: true,
  });
  const answers = new OpenAnswers(server);
  const pendingTasks = new PendingTasks();
  limitConnections(server);
  const {memory} = options;
  const guard = memory
    ? new ConnectionGuard(server, {
        memory,
        maxConnections: MAX_CONNECTIONS,
        getMaxHeaderBytes: () => MAX_HEADER_BYTES,
        maxHeaderLines: MAX_HEADER_LINES,
        refuse: refuseHead,
      })
    : null;
  if (!guard) server.maxConnections = MAX_CONNECTIONS;
  const handle = createPublicHandler({
    ...options,
    trackWork: task => pendingTasks.add(task),
  });
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    if (guard && !guard.admit(request, response)) return;
    response.setHeader('x-request-id', createIdentifier('req'));
    if (!options.isOpen()) response.setHeader('connection', 'close');
    pendingTasks.add(new Promise(resolve => response.once('close', resolve)));
    handle(request, response);
  });
  server.on('clientError', refuseMalformed);
  server.on('connect', (_request, socket) => socket.destroy());
  server.on('upgrade', (_request, socket) =>
    refuseConnection(socket as Socket, 400, 'connections are not upgraded'),
  );
  const {host, port} = options;
  await startListening(server, {host, port, backlog: MAX_PENDING_CONNECTIONS});
  return {
    closeIdleConnections: () => answers.closeIdleConnections(),
    waitUntilIdle: () => pendingTasks.waitUntilDone(),
    async [Symbol.asyncDispose]() {
      await answers.closeServer(options.clock);
      guard?.[Symbol.dispose]();
    },
  };
}

/** Tracks tasks that have not settled. */
class PendingTasks {
  private readonly tasks = new Set<Promise<unknown>>();

  add(task: Promise<unknown>): void {
    const settled = task.catch(() => {});
    this.tasks.add(settled);
    void settled.then(() => this.tasks.delete(settled));
  }

  async waitUntilDone(): Promise<void> {
    while (this.tasks.size > 0) await Promise.all(this.tasks);
  }
}

/** Closes new connections from an address that has too many. */
function limitConnections(server: Server): void {
  const counts = new Map<string, number>();
  server.on('connection', socket => {
    const address = socket.remoteAddress ?? '';
    const count = (counts.get(address) ?? 0) + 1;
    counts.set(address, count);
    socket.once('close', () => {
      const remaining = (counts.get(address) ?? 1) - 1;
      if (remaining === 0) counts.delete(address);
      else counts.set(address, remaining);
    });
    if (count > MAX_CONNECTIONS_PER_ADDRESS) socket.destroy();
  });
}

/** Answers a request that is refused by its head. */
function refuseHead(socket: Socket, cause: HeadRefusal): void {
  if (cause === 'too-large') {
    return refuseConnection(socket, 431, 'the headers are too large');
  }
  refuseConnection(socket, 503, 'the memory for requests is used up');
}

/** Answers malformed, oversized and timed-out requests. */
function refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
  switch (error.code) {
    case 'HPE_HEADER_OVERFLOW':
      return refuseConnection(socket, 431, 'the headers are too large');
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return refuseConnection(socket, 408, 'the request came too slowly');
    default:
      return refuseConnection(socket, 400, 'the request is malformed');
  }
}

function refuseConnection(
  socket: Socket,
  status: number,
  reason: string,
): void {
  if (!socket.writable || socket.bytesWritten > 0) {
    socket.destroy();
    return;
  }
  const requestId = createIdentifier('req');
  const body = JSON.stringify(
    describeError(requestId, {
      outcome: 'not-run',
      code: 'bad-request',
      message: `Could not read the request: ${reason}`,
      status,
    }),
  );
  socket.end(
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
      'content-type: application/json\r\n' +
      `content-length: ${Buffer.byteLength(body)}\r\n` +
      `x-request-id: ${requestId}\r\n` +
      (status === 503 ? `retry-after: ${MEMORY_RETRY_AFTER_S}\r\n` : '') +
      'x-outcome: not-run\r\nconnection: close\r\n\r\n' +
      body,
  );
}
