/** Connects to other daemons over one WebSocket for each. */
import {
  createTRPCUntypedClient,
  createWSClient,
  TRPCClientError,
  wsLink,
} from '@trpc/client';
import WebSocket from 'ws';
import type {Clock} from '../../protocol/clock.ts';
import type {PeerService} from '../../protocol/peer_service.ts';
import type {RefusalLog} from '../../protocol/refusal_log.ts';
import {MAX_MESSAGE_BYTES} from './peer_server.ts';
import {readMessage, type Callable, type CallSchemas} from './peer_router.ts';
import type {TrafficMeter} from './traffic_meter.ts';

/** Interval of keep-alive pings, and timeout for their pongs. */
const KEEP_ALIVE = {enabled: true, intervalMs: 600, pongTimeoutMs: 900};

/**
 * Timeout for opening a connection: several round trips between regions, but
 * less than the second after which a lost SYN packet is retransmitted.
 */
const HANDSHAKE_TIMEOUT_MS = 600;

/**
 * First and maximum backoff before a lost connection is reopened. It is short,
 * so that a restarted host is reconnected within a fraction of a second.
 */
const RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 200;

/** A link without calls for this long is closed. */
const IDLE_TIMEOUT_MS = 120_000;

/** How often idle links are searched for. */
const IDLE_CHECK_INTERVAL_MS = 30_000;

/** Default timeout of a call. */
const CALL_TIMEOUT_MS = 2_000;

/** A peer's service, with a timeout for each call. */
export type Client<S extends Callable<S>> = {
  [K in keyof S]: (
    request: Parameters<S[K]>[0],
    timeoutMs?: number,
  ) => ReturnType<S[K]>;
};

export type PeerClient = Client<PeerService>;

export interface PeerLinksOptions {
  /** The secret shared by all daemons. */
  readonly secret: string;
  readonly clock: Clock;
  /** The names of the calls that peers serve. */
  readonly calls: readonly string[];
  /** Schemas by the name of the call; other replies are not validated. */
  readonly replySchemas?: CallSchemas;
  /** Logs the entries that are dropped from replies; by default nothing. */
  readonly refusals?: RefusalLog;
  /** Counts the calls and their bytes; by default nothing does. */
  readonly meter?: TrafficMeter;
}

interface Link<S extends Callable<S>> {
  readonly client: Client<S>;
  readonly close: () => void;
  lastUsedAt: number;
}

/** The links of one daemon, opened on first use and closed when idle. */
export class PeerLinks<
  S extends Callable<S> = PeerService,
> implements AsyncDisposable {
  private readonly links = new Map<string, Link<S>>();
  /** Clients outlive their links; a call opens a new link if needed. */
  private readonly clients = new Map<string, Client<S>>();
  private readonly stopped = new AbortController();

  constructor(private readonly options: PeerLinksOptions) {
    void this.closeIdleLinks();
  }

  /** The number of links that are not closed. */
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

  /** Closes unused links, as of hosts that left or changed their address. */
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

/** Whether a call failed since the peer, of an earlier version, lacks it. */
export function isUnknownCall(error: unknown): boolean {
  return (
    error instanceof TRPCClientError &&
    (error.data as {code?: string} | undefined)?.code === 'NOT_FOUND'
  );
}

function openLink<S extends Callable<S>>(
  address: string,
  {secret, calls, replySchemas = {}, refusals, meter}: PeerLinksOptions,
) {
  class AuthenticatedWebSocket extends WebSocket {
    private readonly meter = meter?.createConnection();

    constructor(url: string) {
      super(url, {
        headers: {authorization: `Bearer ${secret}`},
        handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
        maxPayload: MAX_MESSAGE_BYTES,
      });
      // Without a listener, an unreachable peer would crash the process.
      this.on('error', () => {});
      this.on('message', data => this.meter?.recordReceived(data as Buffer));
    }

    override send(data: string): void {
      this.meter?.recordSent(data);
      super.send(data);
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
  const call = (name: string) => {
    const schema = replySchemas[name];
    return async (request: unknown, timeoutMs = CALL_TIMEOUT_MS) => {
      // A fraction of a millisecond would be refused.
      const signal = AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs)));
      const reply = await trpc.mutation(name, request, {signal});
      return schema
        ? readMessage(reply, {call: name, schema, refusals})
        : reply;
    };
  };
  const client = Object.fromEntries(
    calls.map(name => [name, call(name)]),
  ) as unknown as Client<S>;
  return {client, close: () => void socket.close()};
}
