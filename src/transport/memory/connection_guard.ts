/**
 * Bounds what the connections of one HTTP server take of the process.
 *
 * Each connection and each body that is read is a holder of the memory account. A
 * connection with too many pipelined requests is closed, as is one whose answers are
 * not read for a while. Once there are too many connections, those that have been
 * without a request for the longest time are closed.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {
  MemoryAccount,
  MemoryHolder,
} from '../../coordination/memory_account/memory_account.ts';

/** What a connection without a request takes: its socket, parser and buffers. */
const CONNECTION_BYTES = 12 * 1024;

/** What a request takes beside its body. */
const REQUEST_BYTES = 4 * 1024;

/**
 * The most requests of a connection that may be open. Node.js stops reading a
 * connection with unread answers only after all that it has read at once, which
 * is over 1,000 short requests.
 */
const MAX_PIPELINED = 100;

/** Smaller answers are counted only if they are not read at once. */
const MIN_COUNTED_ANSWER_BYTES = 16 * 1024;

/** How long a caller may read nothing of an answer, in ms. */
const STALL_TIMEOUT_MS = 15_000;

/** Sweeps run while there are connections; each one wakes the process. */
const SWEEP_INTERVAL_MS = 500;

/** Above this share of the connections, those without a request are closed. */
const CROWDED_SHARE = 0.9;

/** A connection needs this much memory for a request of an ordinary size. */
const ORDINARY_BYTES = 64 * 1024;

export interface ConnectionGuardOptions {
  readonly memory: MemoryAccount;
  /** Unbounded by default. */
  readonly maxConnections?: number | undefined;
  /** 15 s by default. */
  readonly stallTimeoutMs?: number;
}

interface Connection {
  readonly holder: MemoryHolder;
  readonly open: Set<GuardedRequest>;
  isStalling: boolean;
}

/** What a body takes at the most, received in bad chunks and then joined. */
const BODY_FACTOR = 3.1;

/** Computes what the largest request with such a body takes, in bytes. */
export function computeLargestRequest(maxBodyBytes: number): number {
  return maxBodyBytes * BODY_FACTOR + ORDINARY_BYTES;
}

/** A request whose memory is counted. */
export class GuardedRequest {
  /** What its body holds; `null` while it holds nothing. */
  private body: MemoryHolder | null = null;
  private answer: MemoryHolder | null = null;
  private isClosed = false;
  private retained = 0;

  constructor(
    private readonly memory: MemoryAccount,
    private readonly socket: Socket,
  ) {}

  /** Opens the account of the body; `evict` is called when it is to be refused. */
  openBody(evict: () => void): MemoryHolder {
    this.body = this.memory.open({
      kind: 'body',
      eviction: 'first',
      name: describeCaller(this.socket),
      owner: this.socket,
      evict,
    });
    return this.body;
  }

  /** Reserves more for the body that was read; false if it is to be refused. */
  grow(bytes: number): boolean {
    return !this.body || this.body.set(this.body.bytes + bytes);
  }

  /**
   * Reserves an answer that is about to be written, until it is sent. If it is
   * refused, or evicted later, the connection is to be closed: its request has run.
   */
  holdAnswer(bytes: number): boolean {
    if (bytes < MIN_COUNTED_ANSWER_BYTES) return true;
    this.answer ??= this.memory.open({
      kind: 'unread',
      // Its caller can read it, unlike an answer that is still received.
      eviction: 'first',
      name: describeCaller(this.socket),
      owner: this.socket,
      evict: () => this.socket.destroy(),
    });
    return this.answer.set(this.answer.bytes + bytes);
  }

  /** What is reserved for its answer, in bytes. */
  get answerBytes(): number {
    return this.answer?.bytes ?? 0;
  }

  /** Keeps the body reserved until the result is called, too. */
  retain(): () => void {
    this.retained++;
    return () => {
      this.retained--;
      this.releaseBody();
    };
  }

  /** Ends the reservations, as the answer is sent or the connection closed. */
  close(): void {
    this.isClosed = true;
    this.answer?.release();
    this.releaseBody();
  }

  private releaseBody(): void {
    if (this.isClosed && this.retained === 0) this.body?.release();
  }
}

const requests = new WeakMap<IncomingMessage, GuardedRequest>();

/** Finds the account of a request; `null` if its server has no guard. */
export function findGuarded(request: IncomingMessage): GuardedRequest | null {
  return requests.get(request) ?? null;
}

export class ConnectionGuard implements Disposable {
  private readonly connections = new Map<Socket, Connection>();
  /** Connections without a request, the longest without one first. */
  private readonly idle = new Set<Socket>();
  private timer: NodeJS.Timeout | null = null;
  private readonly maxConnections: number;

  constructor(
    private readonly server: Server,
    private readonly options: ConnectionGuardOptions,
  ) {
    this.maxConnections = options.maxConnections ?? Infinity;
    if (options.maxConnections !== undefined) {
      server.maxConnections = options.maxConnections;
    }
    server.on('connection', socket => this.add(socket));
    server.on('drop', () =>
      options.memory.recordRejection('connection', 'connections'),
    );
  }

  /** Whether an ordinary connection and its request would be accepted. */
  get hasRoom(): boolean {
    return (
      this.connections.size < this.maxConnections &&
      this.options.memory.hasRoom(ORDINARY_BYTES)
    );
  }

  /** Tracks a request; false if its connection has just been closed. */
  admit(request: IncomingMessage, response: ServerResponse): boolean {
    const {socket} = request;
    const connection = this.connections.get(socket);
    if (!connection || socket.destroyed) return false;
    const {memory} = this.options;
    const guarded = new GuardedRequest(memory, socket);
    connection.open.add(guarded);
    if (connection.open.size === 1) {
      this.idle.delete(socket);
      connection.holder.setEviction('last');
    } else if (connection.open.size > MAX_PIPELINED) {
      memory.recordRejection('connection', 'pipelined');
      socket.destroy();
      return false;
    } else if (!this.update(socket, connection)) {
      return false;
    }
    requests.set(request, guarded);
    response.once('close', () => {
      guarded.close();
      connection.open.delete(guarded);
      if (connection.open.size === 0) this.setIdle(socket, connection);
    });
    return true;
  }

  /** Never closes a connection that is used for another protocol. */
  keepUpgraded(socket: Socket): void {
    this.idle.delete(socket);
    this.connections.get(socket)?.holder.setEviction('never');
  }

  [Symbol.dispose](): void {
    this.stopSweeps();
  }

  private add(socket: Socket): void {
    const holder = this.options.memory.open({
      kind: 'connection',
      eviction: 'first',
      name: describeCaller(socket),
      owner: socket,
      evict: () => socket.destroy(),
    });
    const connection = {
      holder,
      open: new Set<GuardedRequest>(),
      isStalling: false,
    };
    this.connections.set(socket, connection);
    this.timer ??= setInterval(() => this.sweep(), SWEEP_INTERVAL_MS).unref();
    this.idle.add(socket);
    socket.on('timeout', () => {
      if (!connection.isStalling) return;
      this.options.memory.recordRejection('connection', 'unread');
    });
    socket.once('close', () => {
      holder.release();
      // Node.js closes no answer that waits behind another one.
      for (const guarded of connection.open) guarded.close();
      this.idle.delete(socket);
      this.connections.delete(socket);
    });
    if (this.update(socket, connection)) this.closeLongestIdle(socket);
  }

  private setIdle(socket: Socket, {holder}: Connection): void {
    if (socket.destroyed) return;
    this.idle.add(socket);
    holder.idleSince = this.options.memory.now;
    holder.setEviction('first');
  }

  /** Makes room for further connections after `added`. */
  private closeLongestIdle(added: Socket): void {
    if (this.connections.size <= this.maxConnections * CROWDED_SHARE) return;
    for (const socket of this.idle) {
      if (socket === added) return;
      this.options.memory.recordRejection('connection', 'idle');
      this.idle.delete(socket);
      socket.destroy();
      return;
    }
  }

  /** Reserves what a connection takes; closes it and returns false if refused. */
  private update(socket: Socket, connection: Connection): boolean {
    let unreadBytes = socket.writableLength;
    if (unreadBytes > 0) {
      for (const {answerBytes} of connection.open) unreadBytes -= answerBytes;
    }
    const bytes =
      CONNECTION_BYTES +
      Math.max(0, connection.open.size - 1) * REQUEST_BYTES +
      Math.max(0, unreadBytes);
    if (bytes === connection.holder.bytes) return true;
    if (connection.holder.set(bytes)) return true;
    socket.destroy();
    return false;
  }

  private stopSweeps(): void {
    if (this.timer) clearInterval(this.timer);
    this.timer = null;
  }

  private sweep(): void {
    if (this.connections.size === 0) return this.stopSweeps();
    for (const [socket, connection] of this.connections) {
      if (socket.destroyed) continue;
      const isWaiting = socket.writableLength > 0;
      if (isWaiting && !connection.isStalling) {
        // Node.js closes a socket that has sent and received nothing for as long.
        const {stallTimeoutMs = STALL_TIMEOUT_MS} = this.options;
        socket.setTimeout(stallTimeoutMs);
      } else if (connection.isStalling && !isWaiting) {
        // Without a request it keeps the time-out of idle connections.
        if (connection.open.size > 0) socket.setTimeout(0);
      }
      connection.isStalling = isWaiting;
      this.update(socket, connection);
    }
  }
}

function describeCaller({remoteAddress, remotePort}: Socket): string {
  return `${remoteAddress}:${remotePort}`;
}
