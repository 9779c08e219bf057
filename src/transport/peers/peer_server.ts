/** Accepts connections from other daemons. */
import {timingSafeEqual} from 'node:crypto';
import {createServer} from 'node:http';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocketServer} from 'ws';
import type {MemoryAccount} from '../../coordination/memory_account/memory_account.ts';
import {ConnectionGuard} from '../memory/connection_guard.ts';
import {closeServer, startListening} from '../http_server.ts';
import {
  createPeerRouter,
  type Callable,
  type PeerRouterOptions,
} from './peer_router.ts';

/** Maximum size of a message from a peer. */
export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** The time-out for the headers of a connection, and its checks. */
const HEADERS_TIMEOUT_MS = 10_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** Many times the lines of another daemon's request. */
const MAX_HEADER_LINES = 100;

/** Interval of keep-alive pings, and timeout for their pongs. */
const KEEP_ALIVE = {enabled: true, pingMs: 5_000, pongWaitMs: 2_000};

export interface PeerServerOptions<S> extends PeerRouterOptions<S> {
  readonly host: string;
  readonly port: number;
  /** The secret shared by all daemons. */
  readonly secret: string;
  /** Accounts for connections; they are not counted by default. */
  readonly memory?: MemoryAccount;
  /** Unbounded by default. */
  readonly maxConnections?: number | undefined;
}

/** Starts the server. Dispose the result to close every connection. */
export async function startPeerServer<S extends Callable<S>>(
  options: PeerServerOptions<S>,
): Promise<AsyncDisposable> {
  const {host, port, secret, memory, maxConnections} = options;
  const server = createServer(
    {
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: HEADERS_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    },
    (request, response) => {
      if (guard && !guard.admit(request, response)) return;
      response.writeHead(426, {connection: 'close'}).end();
    },
  );
  const guard = memory
    ? new ConnectionGuard(server, {
        memory,
        maxConnections,
        maxHeaderLines: MAX_HEADER_LINES,
      })
    : null;
  const sockets = new WebSocketServer({
    server,
    maxPayload: MAX_MESSAGE_BYTES,
    // Checked before the upgrade, so that unauthenticated clients cannot hold
    // connections open.
    verifyClient: ({req}: {req: {headers: Record<string, unknown>}}) =>
      equalSecrets(String(req.headers['authorization']), `Bearer ${secret}`),
  });
  sockets.on('connection', (_client, {socket}) => guard?.keepUpgraded(socket));
  applyWSSHandler({
    wss: sockets,
    router: createPeerRouter(options),
    createContext: () => ({authenticated: true}),
    keepAlive: KEEP_ALIVE,
  });
  await startListening(server, {host, port});
  return {
    async [Symbol.asyncDispose]() {
      for (const client of sockets.clients) client.terminate();
      sockets.close();
      await closeServer(server);
      guard?.[Symbol.dispose]();
    },
  };
}

/** Compares two secrets in constant time for secrets of equal length. */
export function equalSecrets(given: string, expected: string): boolean {
  const a = Buffer.from(given);
  const b = Buffer.from(expected);
  return a.length === b.length && timingSafeEqual(a, b);
}
