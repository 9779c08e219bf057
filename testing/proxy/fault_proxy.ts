/**
 * A TCP proxy that delays, limits, silences, resets and cuts connections.
 *
 * Each listener of the system gets an address of its own at the proxy. Faults
 * are set by the names of the two ends.
 */
import {createServer, connect, type Server, type Socket} from 'node:net';
import {allocateLoopback} from '../system/loopback.ts';
import {Pipe, type SharedLink} from './pipe.ts';

/** What a connection between two ends suffers. */
export interface LinkOptions {
  /** One way, in milliseconds. */
  readonly delayMs?: number;
  /** The capacity that connections share, one for each way. */
  readonly link?: {
    readonly toServer: SharedLink;
    readonly toClient: SharedLink;
  };
}

/** Chooses connections by the names of their ends. */
export type LinkMatcher = (from: string, to: string) => boolean;

/** The way in which bytes stop: from the client, to it, or both. */
export type Direction = 'there' | 'back' | 'both';

/** What new connections of a cut link meet. */
export type CutKind = 'silent' | 'refused';

export interface FaultProxyOptions {
  /** Names the end that opened a connection from the port it came from. */
  readonly identify: (port: number) => string;
  /** The standing properties of a link. */
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

/** Stands between all processes of a test. */
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

  /** Listens for connections to `address`; returns where. */
  add(address: string, name: string): string {
    const server = createServer(socket => this.accept(socket, address, name));
    const [, port] = address.split(':');
    const host = allocateLoopback();
    server.listen(Number(port), host);
    this.servers.push(server);
    return `${host}:${port}`;
  }

  /** Bytes carried so far from one end to another, by direction. */
  countBytes(match: LinkMatcher): number {
    return [...this.bytes]
      .filter(([key]) => match(...(key.split('>') as [string, string])))
      .reduce((sum, [, count]) => sum + count, 0);
  }

  /** Cuts links, open connections included; returns what mends them. */
  cut(match: LinkMatcher, kind: CutKind = 'silent'): () => void {
    const rule = {match, kind};
    this.cuts.add(rule);
    for (const each of this.findConnections(match)) {
      if (kind === 'refused') each.client.resetAndDestroy();
      else silence(each, 'both');
    }
    return () => {
      this.cuts.delete(rule);
      // What was silent stays so: its ends have lost track of each other.
    };
  }

  /** Holds requests on their way, on open and on new connections. */
  hold(match: LinkMatcher): () => void {
    this.heldRequests.add(match);
    for (const each of this.findConnections(match)) each.requestPipe.hold();
    return () => {
      this.heldRequests.delete(match);
      for (const each of this.findConnections(match))
        each.requestPipe.release();
    };
  }

  /** Counts the connections on which bytes are held. */
  countHeld(): number {
    return [...this.connections].filter(each => each.requestPipe.holdsBytes)
      .length;
  }

  /** Silences the connections that are open now; new ones work. */
  silence(match: LinkMatcher, direction: Direction = 'both'): number {
    const found = this.findConnections(match);
    for (const each of found) silence(each, direction);
    return found.length;
  }

  /** Resets the connections that are open now. */
  reset(match: LinkMatcher): number {
    const found = this.findConnections(match);
    for (const each of found) each.client.resetAndDestroy();
    return found.length;
  }

  /** Ends new connections after this many bytes of reply. */
  truncateReplies(match: LinkMatcher, bytes: number): () => void {
    const rule = {match, bytes};
    this.replyLimits.add(rule);
    return () => void this.replyLimits.delete(rule);
  }

  /** Sends each piece of a reply twice on new connections. */
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
