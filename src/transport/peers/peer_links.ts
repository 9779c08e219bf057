/** Connections to other daemons: one WebSocket for each. */
import {createTRPCUntypedClient, createWSClient, wsLink} from '@trpc/client';
import WebSocket from 'ws';
import type {Clock} from '../../protocol/clock.ts';
import type {PeerService} from '../../protocol/peer_service.ts';
import type {Callable} from './peer_router.ts';

/** How often a connection is probed, and how long it may be silent. */
const KEEP_ALIVE = {enabled: true, intervalMs: 600, pongTimeoutMs: 900};

/**
 * How long a connection may take to open: several round trips between regions,
 * and less than the second after which a lost first packet is sent again.
 */
const HANDSHAKE_TIMEOUT_MS = 600;

/**
 * The pause before a lost connection is opened again, and its limit: a host
 * that is back should be found in a fraction of a second.
 */
const RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 200;

/** A link that is not used for this long is closed. */
const IDLE_TIMEOUT_MS = 120_000;

/** How often idle links are looked for. */
const IDLE_CHECK_INTERVAL_MS = 30_000;

/** How long a call may take where the caller does not say. */
const CALL_TIMEOUT_MS = 2_000;

/** A peer's service, with a deadline for each call. */
export type Client<S extends Callable<S>> = {
  [K in keyof S]: (
    request: Parameters<S[K]>[0],
    timeoutMs?: number,
  ) => ReturnType<S[K]>;
};

export type PeerClient = Client<PeerService>;

export interface PeerLinksOptions {
  /** The secret that daemons share. */
  readonly secret: string;
  readonly clock: Clock;
  /** The names of the calls that peers answer. */
  readonly calls: readonly string[];
}

interface Link<S extends Callable<S>> {
  readonly client: Client<S>;
  readonly close: () => void;
  lastUsedAt: number;
}

/** The links of one daemon, opened when first used and closed when idle. */
export class PeerLinks<
  S extends Callable<S> = PeerService,
> implements AsyncDisposable {
  private readonly links = new Map<string, Link<S>>();
  /** Clients outlive their links; a call opens a link anew. */
  private readonly clients = new Map<string, Client<S>>();
  private readonly stopped = new AbortController();

  constructor(private readonly options: PeerLinksOptions) {
    void this.closeIdleLinks();
  }

  /** How many links are kept. */
  get size(): number {
    return this.links.size;
  }

  /** Returns the client of the daemon at `address`. */
  get(address: string): Client<S> {
    const known = this.clients.get(address);
    if (known) return known;
    const call = (name: keyof S) => {
      return (request: unknown, timeoutMs?: number) =>
        this.findOrOpen(address).client[name](request as never, timeoutMs);
    };
    const client = Object.fromEntries(
      this.options.calls.map(name => [name, call(name as keyof S)]),
    ) as unknown as Client<S>;
    this.clients.set(address, client);
    return client;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    for (const {close} of this.links.values()) close();
    this.links.clear();
  }

  private findOrOpen(address: string): Link<S> {
    const lastUsedAt = this.options.clock.monotonic();
    const known = this.links.get(address);
    if (known) {
      known.lastUsedAt = lastUsedAt;
      return known;
    }
    const link = {...openLink<S>(address, this.options), lastUsedAt};
    this.links.set(address, link);
    return link;
  }

  /** Closes the links to hosts that left or changed their address. */
  private async closeIdleLinks(): Promise<void> {
    const {clock} = this.options;
    const {signal} = this.stopped;
    while (!signal.aborted) {
      await clock.sleep(IDLE_CHECK_INTERVAL_MS, signal);
      const idleSince = clock.monotonic() - IDLE_TIMEOUT_MS;
      for (const [address, link] of this.links) {
        if (link.lastUsedAt > idleSince) continue;
        this.links.delete(address);
        link.close();
      }
    }
  }
}

function openLink<S extends Callable<S>>(
  address: string,
  {secret, calls}: PeerLinksOptions,
) {
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
    retryDelayMs: attempt =>
      Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * 2 ** Math.min(attempt, 8)),
  });
  const trpc = createTRPCUntypedClient({links: [wsLink({client: socket})]});
  const call =
    (name: string) =>
    (request: unknown, timeoutMs = CALL_TIMEOUT_MS) =>
      trpc.mutation(name, request, {signal: AbortSignal.timeout(timeoutMs)});
  const client = Object.fromEntries(
    calls.map(name => [name, call(name)]),
  ) as unknown as Client<S>;
  return {client, close: () => void socket.close()};
}
