/**
 * A TCP proxy that injects latency, bandwidth limits, dropped bytes, resets and
 * partitions.
 *
 * Each listener of the system under test gets its own address at the proxy.
 * Faults apply to links, which are selected by the names of their two ends.
 */
import {createServer, connect, type Server, type Socket} from 'node:net';
import {allocateLoopback} from '../system/loopback.ts';
import {Pipe, type SharedLink} from './pipe.ts';

/** Latency and bandwidth of a link. */
export interface LinkOptions {
  /** One-way latency. */
  readonly delayMs?: number;
  /** The bandwidth that connections share, in each direction. */
  readonly link?: {
    readonly toServer: SharedLink;
    readonly toClient: SharedLink;
  };
}

/** Selects connections by the names of client and server. */
export type LinkMatcher = (from: string, to: string) => boolean;

/** The direction: `there` is client to server, `back` server to client. */
export type Direction = 'there' | 'back' | 'both';

/**
 * What a cut link does to new connections: `silent` accepts them and drops all
 * bytes, `refused` resets them.
 */
export type CutKind = 'silent' | 'refused';

export interface FaultProxyOptions {
  /** Returns the client's name by the source port of its connection. */
  readonly identify: (port: number) => string;
  /** Returns the latency and bandwidth of a link. */
  readonly describeLink?: (from: string, to: string) => LinkOptions;
}

interface Connection {
  readonly from: string;
  readonly to: string;
  readonly client: Socket;
  readonly server: Socket;
  readonly requestPipe: Pipe;
  readonly replyPipe: Pipe;
}

/** Forwards the traffic between all processes of a test. */
export class FaultProxy implements AsyncDisposable {
  private readonly servers: Server[] = [];
  private readonly connections = new Set<Connection>();
  private readonly sockets = new Set<Socket>();
  private readonly cuts = new Set<{match: LinkMatcher; kind: CutKind}>();
  private readonly replyLimits = new Set<{match: LinkMatcher; bytes: number}>();
  private readonly heldRequests = new Set<LinkMatcher>();
  private readonly duplicatedReplies = new Set<LinkMatcher>();
  private readonly bytes = new Map<string, number>();

  constructor(private readonly options: FaultProxyOptions) {}

  /** Starts a listener that forwards to `address`; returns its address. */
  add(address: string, name: string): string {
    const server = createServer(socket => this.accept(socket, address, name));
    const [, port] = address.split(':');
    const host = allocateLoopback();
    server.listen(Number(port), host);
    this.servers.push(server);
    return `${host}:${port}`;
  }

  /** Counts the bytes forwarded so far in the directions that match. */
  countBytes(match: LinkMatcher): number {
    return [...this.bytes]
      .filter(([key]) => match(...(key.split('>') as [string, string])))
      .reduce((sum, [, count]) => sum + count, 0);
  }

  /** Cuts open and new connections; the result lets new ones through again. */
  cut(match: LinkMatcher, kind: CutKind = 'silent'): () => void {
    const rule = {match, kind};
    this.cuts.add(rule);
    for (const each of this.findConnections(match)) {
      if (kind === 'refused') each.client.resetAndDestroy();
      else silence(each, 'both');
    }
    return () => {
      this.cuts.delete(rule);
      // Silenced connections stay silent: dropped bytes broke their streams.
    };
  }

  /**
   * Holds bytes towards the server on open and new connections; returns a
   * function that releases them.
   */
  hold(match: LinkMatcher): () => void {
    this.heldRequests.add(match);
    for (const each of this.findConnections(match)) each.requestPipe.hold();
    return () => {
      this.heldRequests.delete(match);
      for (const each of this.findConnections(match))
        each.requestPipe.release();
    };
  }

  /** Counts the connections with held bytes. */
  countHeld(): number {
    return [...this.connections].filter(each => each.requestPipe.holdsBytes)
      .length;
  }

  /** Drops all bytes on open connections; new connections work. */
  silence(match: LinkMatcher, direction: Direction = 'both'): number {
    const found = this.findConnections(match);
    for (const each of found) silence(each, direction);
    return found.length;
  }

  /** Resets open connections; returns how many. */
  reset(match: LinkMatcher): number {
    const found = this.findConnections(match);
    for (const each of found) each.client.resetAndDestroy();
    return found.length;
  }

  /** Closes new connections after `bytes` bytes towards the client. */
  truncateReplies(match: LinkMatcher, bytes: number): () => void {
    const rule = {match, bytes};
    this.replyLimits.add(rule);
    return () => void this.replyLimits.delete(rule);
  }

  /** Sends each chunk of a reply twice on new connections. */
  duplicateReplies(match: LinkMatcher): () => void {
    this.duplicatedReplies.add(match);
    return () => void this.duplicatedReplies.delete(match);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    const closing = this.servers.map(
      server => new Promise<void>(resolve => server.close(() => resolve())),
    );
    await Promise.all(closing);
  }

  private findConnections(match: LinkMatcher): Connection[] {
    return [...this.connections].filter(each => match(each.from, each.to));
  }

  private accept(client: Socket, address: string, to: string): void {
    client.on('error', () => {});
    const from = this.options.identify(client.remotePort ?? 0);
    const cut = [...this.cuts].find(rule => rule.match(from, to));
    if (cut?.kind === 'refused') {
      client.resetAndDestroy();
      return;
    }
    const [host, port] = address.split(':');
    const server = connect(Number(port), host);
    server.on('error', () => client.resetAndDestroy());
    const connection = this.createConnection(client, server, from, to);
    if (cut) silence(connection, 'both');
  }

  private createConnection(
    client: Socket,
    server: Socket,
    from: string,
    to: string,
  ): Connection {
    const {delayMs = 0, link} = this.options.describeLink?.(from, to) ?? {};
    const limit = [...this.replyLimits].find(rule => rule.match(from, to));
    const count = (key: string) => (bytes: number) =>
      void this.bytes.set(key, (this.bytes.get(key) ?? 0) + bytes);
    const requestPipe = new Pipe(client, server, {
      delayMs,
      link: link?.toServer,
      onBytes: count(`${from}>${to}`),
    });
    const replyPipe = new Pipe(server, client, {
      delayMs,
      link: link?.toClient,
      onBytes: count(`${to}>${from}`),
      maxBytes: limit?.bytes,
      isDuplicated: [...this.duplicatedReplies].some(match => match(from, to)),
    });
    const connection = {from, to, client, server, requestPipe, replyPipe};
    if ([...this.heldRequests].some(match => match(from, to)))
      requestPipe.hold();
    this.sockets.add(client).add(server);
    this.connections.add(connection);
    client.once('close', () => {
      this.sockets.delete(client);
      this.connections.delete(connection);
      if (!requestPipe.silent) server.destroy();
    });
    server.once('close', () => {
      this.sockets.delete(server);
      if (!replyPipe.silent) replyPipe.close();
    });
    return connection;
  }
}

function silence(connection: Connection, direction: Direction): void {
  if (direction !== 'back') connection.requestPipe.silence();
  if (direction !== 'there') connection.replyPipe.silence();
}
