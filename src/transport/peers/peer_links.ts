/** Connections to other daemons: one WebSocket for each. */
import {createTRPCClient, createWSClient, wsLink} from '@trpc/client';
import WebSocket from 'ws';
import type {PeerService} from '../../protocol/peer_service.ts';
import type {PeerRouter} from './peer_router.ts';

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
  const trpc = createTRPCClient<PeerRouter>({
    links: [wsLink({client: socket})],
  });
  const options = (timeoutMs = CALL_TIMEOUT_MS) => ({
    signal: AbortSignal.timeout(timeoutMs),
  });
  const client: PeerClient = {
    vote: (request, timeoutMs) => trpc.vote.mutate(request, options(timeoutMs)),
    append: (request, timeoutMs) =>
      trpc.append.mutate(request, options(timeoutMs)),
    propose: (request, timeoutMs) =>
      trpc.propose.mutate(request, options(timeoutMs)),
    renewLease: (request, timeoutMs) =>
      trpc.renewLease.mutate(request, options(timeoutMs)),
    grantLeases: (request, timeoutMs) =>
      trpc.grantLeases.mutate(request, options(timeoutMs)),
    listLeaseHolders: (request, timeoutMs) =>
      trpc.listLeaseHolders.mutate(request, options(timeoutMs)),
    readLedger: (request, timeoutMs) =>
      trpc.readLedger.mutate(request, options(timeoutMs)),
    listEndpoints: (request, timeoutMs) =>
      trpc.listEndpoints.mutate(request, options(timeoutMs)),
    checkInForce: (request, timeoutMs) =>
      trpc.checkInForce.mutate(request, options(timeoutMs)),
    reportEvidence: (request, timeoutMs) =>
      trpc.reportEvidence.mutate(request, options(timeoutMs)),
    exchange: (request, timeoutMs) =>
      trpc.exchange.mutate(request, options(timeoutMs)),
  };
  return {client, close: () => void socket.close()};
}
