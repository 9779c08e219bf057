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
  HolderKind,
  MemoryAccount,
  MemoryHolder,
} from '../../coordination/memory_account/memory_account.ts';
import {TurnQueue} from '../../coordination/turn_queue.ts';
import {refuseHead, type RefuseHead} from '../request_reader/refuse_head.ts';
import {RequestReader} from '../request_reader/request_reader.ts';
import {describeCaller, GuardedRequest, setGuarded} from './guarded_request.ts';

/** What a connection without a request takes: its socket, parser and buffers. */
const CONNECTION_BYTES = 12 * 1024;

/** What a request takes beside its body and a head of many lines. */
const REQUEST_BYTES = 12 * 1024;

/** The most requests of a connection that may be open. */
const MAX_PIPELINED = 100;

/** How long a caller may read nothing of an answer, in ms. */
const STALL_TIMEOUT_MS = 15_000;

/** Sweeps run while there are connections; each one wakes the process. */
const SWEEP_INTERVAL_MS = 500;

/** Above this share of the connections, those without a request are closed. */
const CROWDED_SHARE = 0.9;

/** A connection needs this much memory for a request of an ordinary size. */
const ORDINARY_BYTES = 64 * 1024;

/** Bounds request lines and header sections where no configuration does. */
const MAX_HEADER_BYTES = 16 * 1024;

export interface ConnectionGuardOptions {
  readonly memory: MemoryAccount;
  /** Unbounded by default. */
  readonly maxConnections?: number | undefined;
  /** 15 s by default. */
  readonly stallTimeoutMs?: number;
  /** Bounds a request line, a header section and trailers; 16 KiB by default. */
  readonly getMaxHeaderBytes?: () => number;
  /** Bounds the lines of either section; unbounded by default. */
  readonly maxHeaderLines?: number;
  /** Refuses a request by its head; with a status alone by default. */
  readonly refuse?: RefuseHead;
}

interface Connection {
  readonly holder: MemoryHolder;
  readonly reader: RequestReader;
  /** What the reader holds of it, in bytes. */
  heldBytes: number;
  readonly open: Set<GuardedRequest>;
  isStalling: boolean;
}

export class ConnectionGuard implements Disposable {
  private readonly connections = new Map<Socket, Connection>();
  /** Connections without a request, the longest without one first. */
  private readonly idle = new Set<Socket>();
  private timer: NodeJS.Timeout | null = null;
  private readonly maxConnections: number;
  private readonly turns = new TurnQueue({schedule: setImmediate});

  constructor(
    private readonly server: Server,
    private readonly options: ConnectionGuardOptions,
  ) {
    this.maxConnections = options.maxConnections ?? Infinity;
    if (options.maxConnections !== undefined) {
      server.maxConnections = options.maxConnections;
    }
    // Lines that were dropped could be those that frame the body. The readers
    // bound the lines by what they cost.
    server.maxHeadersCount = 0;
    server.on('connection', socket => this.add(socket));
    server.on('drop', data =>
      options.memory.recordRejection(
        'connection',
        'connections',
        data?.remoteAddress ?? '',
      ),
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
    const header = connection.reader.takeHeader();
    if (!connection.reader.begin(request, response)) {
      this.recordRejection('header', 'framing', socket);
      header?.release();
      socket.destroy();
      return false;
    }
    const guarded = new GuardedRequest(memory, socket, header);
    connection.open.add(guarded);
    if (connection.open.size === 1) {
      this.idle.delete(socket);
      connection.holder.setEviction('last');
    } else if (connection.open.size > MAX_PIPELINED) {
      this.recordRejection('connection', 'pipelined', socket);
      guarded.close();
      socket.destroy();
      return false;
    } else if (!this.update(socket, connection)) {
      return false;
    }
    setGuarded(request, guarded);
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
    const connection = this.connections.get(socket);
    connection?.holder.setEviction('never');
    connection?.reader.detach();
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
    const connection: Connection = {
      holder,
      reader: this.openReader(socket),
      heldBytes: 0,
      open: new Set<GuardedRequest>(),
      isStalling: false,
    };
    this.connections.set(socket, connection);
    this.timer ??= setInterval(() => this.sweep(), SWEEP_INTERVAL_MS).unref();
    this.idle.add(socket);
    socket.on('timeout', () => {
      if (!connection.isStalling) return;
      this.recordRejection('connection', 'unread', socket);
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

  private openReader(socket: Socket): RequestReader {
    // The listener with which the server hands what it reads to the parser.
    const [parse] = socket.listeners('data');
    if (!parse) throw new Error('Could not find the parser of a connection');
    socket.off('data', parse as () => void);
    const {
      getMaxHeaderBytes = () => MAX_HEADER_BYTES,
      maxHeaderLines = Infinity,
      refuse = refuseHead,
    } = this.options;
    return new RequestReader({
      socket,
      parse: parse as (bytes: Buffer) => void,
      getMaxHeaderBytes,
      maxHeaderLines,
      turns: this.turns,
      reserveHeader: bytes => this.reserveHeader(socket, bytes),
      recordHeld: bytes => {
        const connection = this.connections.get(socket);
        if (!connection) return;
        connection.heldBytes = bytes;
        this.update(socket, connection);
      },
      recordRejection: (kind, cause) =>
        this.recordRejection(kind, cause, socket),
      refuse,
    });
  }

  private reserveHeader(socket: Socket, bytes: number): MemoryHolder | null {
    const {memory} = this.options;
    // A head that may wait is not counted as rejected.
    if (!memory.hasRoom(bytes, 'header')) return null;
    const header = memory.open({
      kind: 'header',
      // Its request begins at once.
      eviction: 'never',
      name: describeCaller(socket),
      owner: socket,
      evict: () => {},
    });
    return header.set(bytes) ? header : null;
  }

  private recordRejection(kind: HolderKind, cause: string, socket: Socket) {
    const {memory} = this.options;
    memory.recordRejection(kind, cause, describeCaller(socket));
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
      this.recordRejection('connection', 'idle', socket);
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
      Math.max(0, unreadBytes) +
      connection.heldBytes +
      socket.readableLength;
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
