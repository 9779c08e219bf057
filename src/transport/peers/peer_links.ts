/** Connections to other daemons: one WebSocket for each. */
import {createTRPCUntypedClient, createWSClient, wsLink} from '@trpc/client';
import WebSocket from 'ws';
import type {PeerService} from '../../protocol/peer_service.ts';
import {PEER_CALLS} from './peer_router.ts';

/** How often a connection is probed, and how long it may be silent. */
const KEEP_ALIVE = {enabled: true, intervalMs: 700, pongTimeoutMs: 1_000};

/** How long a connection may take to open. */
const HANDSHAKE_TIMEOUT_MS = 1_500;

/** The pause before a lost connection is opened again. */
const RETRY_MS = 200;

/** How long a call may take where the caller does not say. */
const CALL_TIMEOUT_MS = 2_000;

/** A peer's service, with a deadline for each call. */
export type PeerClient = {
  [K in keyof PeerService]: (
    request: Parameters<PeerService[K]>[0],
    timeoutMs?: number,
  ) => ReturnType<PeerService[K]>;
};

/** The links of one daemon, opened when first used. */
export class PeerLinks implements AsyncDisposable {
  private readonly links = new Map<
    string,
    {client: PeerClient; close: () => void}
  >();

  constructor(private readonly secret: string) {}

  /** Returns the client of the daemon at `address`. */
  get(address: string): PeerClient {
    const known = this.links.get(address);
    if (known) return known.client;
    const link = openLink(address, this.secret);
    this.links.set(address, link);
    return link.client;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const {close} of this.links.values()) close();
    this.links.clear();
  }
}

function openLink(address: string, secret: string) {
  class AuthenticatedWebSocket extends WebSocket {
    constructor(url: string) {
      super(url, {
        headers: {authorization: `Bearer ${secret}`},
        handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      });
      // Without a listener an unreachable peer would stop the process.
      this.on('error', () => {});
    }
  }
  const socket = createWSClient({
    url: `ws://${address}`,
    WebSocket: AuthenticatedWebSocket as unknown as typeof globalThis.WebSocket,
    keepAlive: KEEP_ALIVE,
    retryDelayMs: () => RETRY_MS,
  });
  const trpc = createTRPCUntypedClient({links: [wsLink({client: socket})]});
  const call =
    (name: string) =>
    (request: unknown, timeoutMs = CALL_TIMEOUT_MS) =>
      trpc.mutation(name, request, {signal: AbortSignal.timeout(timeoutMs)});
  const client = Object.fromEntries(
    PEER_CALLS.map(name => [name, call(name)]),
  ) as unknown as PeerClient;
  return {client, close: () => void socket.close()};
}
