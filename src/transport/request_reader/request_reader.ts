/**
 * Reads the requests of one connection ahead of the HTTP parser.
 *
 * A parser works on all that it is given, and what a head costs shows only once it is
 * parsed. The reader counts the lines of a head first, reserves what they cost, and
 * hands over one head at a time. A head of many lines waits for a turn of the event
 * loop of its own, as do the further heads and small chunks of one read. What it does
 * not hand over stays in the socket, whose sender then has to wait.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {computeHeaderCost} from '../../coordination/memory_account/header_cost.ts';
import type {MemoryHolder} from '../../coordination/memory_account/memory_account.ts';
import type {TurnQueue} from '../../coordination/turn_queue.ts';
import {BodyBuffer} from '../memory/body_buffer.ts';
import {ChunkScanner} from './chunk_scanner.ts';
import type {HeadRefusal, RefuseHead} from './refuse_head.ts';
import {countEmptyLineBytes, SectionScanner} from './section_scanner.ts';
import {UnhandledBytes} from './unhandled_bytes.ts';

/** The most chunks of a body that are parsed in one turn of the event loop. */
const MAX_CHUNKS_AT_ONCE = 64;

/** What is read of a body after its request was answered. */
const MAX_DROPPED_BYTES = 1024 * 1024;

/** How long a refused caller has to read the refusal, in ms. */
const REFUSAL_TIMEOUT_MS = 500;

export interface RequestReaderOptions {
  readonly socket: Socket;
  /** Hands bytes to the HTTP parser, which emits a request at the end of a head. */
  readonly parse: (bytes: Buffer) => void;
  /** Bounds the request line, and the header and trailer section, in bytes. */
  readonly getMaxHeaderBytes: () => number;
  /** Bounds the lines of a section; unbounded by default. */
  readonly maxHeaderLines?: number;
  /** Where heads of many lines wait for their turn. */
  readonly turns: TurnQueue;
  /** Reserves the cost of a head; `null` if there is no memory for it. */
  readonly reserveHeader: (bytes: number) => MemoryHolder | null;
  /** Records what is held of the connection unparsed, in bytes. */
  readonly recordHeld: (bytes: number) => void;
  /** Records why a connection is refused or closed, and what of it was the cause. */
  readonly recordRejection: (kind: 'header' | 'body', cause: string) => void;
  readonly refuse: RefuseHead;
}

type Phase = 'head' | 'body' | 'chunks' | 'trailers' | 'ended';

/** A request whose body has not ended. */
interface CurrentRequest {
  readonly request: IncomingMessage;
  /** What is left of its body, if that has a length, in bytes. */
  leftBytes: number;
  isAnswered: boolean;
  /** Bytes that were read of the body after the answer. */
  droppedBytes: number;
  /** The memory of its trailers. */
  trailers: MemoryHolder | null;
}

export class RequestReader {
  private phase: Phase = 'head';
  private section = new SectionScanner();
  private chunks = new ChunkScanner();
  private emptyLineBytes = 0;
  /** What there is of a section that has not ended. */
  private readonly partial = new BodyBuffer();
  /** Whether the parser has the first byte of the section. */
  private hasBegun = false;
  /** A whole section, or what the parser lacks of it. */
  private waiting: Buffer | null = null;
  /** Whether it waits for its turn, and not for memory. */
  private isQueued = false;
  /** The memory of a head that was just handed over. */
  private header: MemoryHolder | null = null;
  private readonly unhandled: UnhandledBytes;
  private heldBytes = 0;
  private current: CurrentRequest | null = null;
  private openCount = 0;
  /** Whether what is left is for a later turn of the event loop. */
  private mustYield = false;
  private isScheduled = false;
  /** Whether the server has paused the connection. */
  private isPaused = false;
  private isDetached = false;
  private refusal: HeadRefusal | null = null;

  constructor(private readonly options: RequestReaderOptions) {
    const {socket} = options;
    this.unhandled = new UnhandledBytes(socket);
    socket.on('readable', this.advance);
    // With that listener they have no effect on the socket, but the server calls them
    // and must be given nothing meanwhile: for a body or answers that nobody reads.
    socket.pause = () => this.setPaused(true);
    socket.resume = () => this.setPaused(false);
    socket.once('close', () => this.stop());
  }

  /** Takes the memory that is reserved for the head of a new request. */
  takeHeader(): MemoryHolder | null {
    const {header} = this;
    this.header = null;
    return header;
  }

  /** Tracks a new request; false if no head was handed over for it. */
  begin(request: IncomingMessage, response: ServerResponse): boolean {
    if (this.current) return false;
    const current: CurrentRequest = {
      request,
      leftBytes: Number(request.headers['content-length'] ?? 0),
      isAnswered: false,
      droppedBytes: 0,
      trailers: null,
    };
    this.current = current;
    this.openCount++;
    response.once('close', () => {
      this.openCount--;
      current.isAnswered = true;
      current.trailers?.release();
      if (this.refusal && this.openCount === 0) this.writeRefusal();
      else if (this.hasMore) this.scheduleAdvance();
    });
    return true;
  }

  /** Stops reading a connection that is used for another protocol. */
  detach(): void {
    this.isDetached = true;
    this.stop();
  }

  private get hasMore(): boolean {
    return this.waiting !== null || !this.unhandled.isEmpty;
  }

  /** Whether nothing may be handed over for now. */
  private get isBlocked(): boolean {
    return this.waiting !== null || this.isScheduled || this.isPaused;
  }

  private setPaused(isPaused: boolean): Socket {
    const wasPaused = this.isPaused;
    this.isPaused = isPaused;
    if (wasPaused && !isPaused) this.scheduleAdvance();
    return this.options.socket;
  }

  private get hasEnded(): boolean {
    return this.phase === 'ended' || this.options.socket.destroyed;
  }

  /** Hands over what may be handed over in this turn. */
  private readonly advance = (): void => {
    while (!this.hasEnded) {
      if (this.isBlocked) {
        this.unhandled.readAhead();
        break;
      }
      const bytes = this.unhandled.peek();
      if (!bytes) break;
      this.mustYield = false;
      this.handle(bytes);
      if (this.mustYield && this.hasMore) this.scheduleAdvance();
    }
    this.updateHeld();
  };

  private scheduleAdvance(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      if (this.waiting && !this.isQueued && !this.hasEnded) this.admitSection();
      this.advance();
    });
  }

  private updateHeld(): void {
    const {waiting, partial, unhandled} = this;
    const held =
      (waiting?.length ?? 0) + partial.costBytes + unhandled.costBytes;
    if (held === this.heldBytes) return;
    this.heldBytes = held;
    this.options.recordHeld(held);
  }

  /** Handles a part of `bytes`, which are the next ones. */
  private handle(bytes: Buffer): void {
    switch (this.phase) {
      case 'head':
      case 'trailers':
        return this.readSection(bytes);
      case 'body':
        return this.readBody(bytes);
      case 'chunks':
        return this.readChunks(bytes);
      case 'ended':
    }
  }

  private readSection(bytes: Buffer): void {
    const {section} = this;
    let start = 0;
    if (this.phase === 'head' && section.bytes === 0) {
      start = countEmptyLineBytes(bytes);
      this.emptyLineBytes += start;
    }
    const end = section.scan(bytes, start);
    const {getMaxHeaderBytes, maxHeaderLines = Infinity} = this.options;
    const longest = Math.max(section.longestPartBytes, this.emptyLineBytes);
    if (longest > getMaxHeaderBytes() || section.lines > maxHeaderLines) {
      return this.refuse('too-large');
    }
    const piece = bytes.subarray(start, end < 0 ? bytes.length : end);
    this.unhandled.drop(start + piece.length);
    if (end >= 0) {
      this.waiting = this.completeSection(piece);
      this.admitSection();
    } else if (piece.length > 0) {
      this.keepPartial(piece);
    }
  }

  private keepPartial(piece: Buffer): void {
    const kept = this.beginSection(piece);
    if (kept.length > 0) this.partial.add(kept);
  }

  /**
   * Hands the first byte of a section that has to wait over, and returns the others.
   * The server takes no connection for idle whose request has begun.
   */
  private beginSection(piece: Buffer): Buffer {
    if (this.hasBegun) return piece;
    this.hasBegun = true;
    this.options.parse(piece.subarray(0, 1));
    return piece.subarray(1);
  }

  /** Joins the last piece of a section with what there is of it. */
  private completeSection(piece: Buffer): Buffer {
    if (this.partial.count === 0) return piece;
    this.partial.add(piece);
    const joined = this.partial.join();
    this.partial.clear();
    return joined;
  }

  /** Hands over the section that waits once its cost is reserved. */
  private admitSection(): void {
    if (this.isPaused) return;
    const cost = computeHeaderCost(this.section);
    if (cost === 0) return this.handOver();
    if (this.waiting) this.waiting = this.beginSection(this.waiting);
    this.isQueued = true;
    this.options.turns.enqueue(() => {
      this.isQueued = false;
      if (this.hasEnded || this.isPaused) return;
      this.header = this.options.reserveHeader(cost);
      if (this.header) {
        this.handOver();
        this.advance();
      } else if (this.openCount === 0 || this.phase === 'trailers') {
        this.refuse('no-memory');
      }
      // Otherwise the end of an open request, or of the pause, tries again.
    });
  }

  private handOver(): void {
    const {socket, parse} = this.options;
    const {waiting, phase} = this;
    this.waiting = null;
    this.section = new SectionScanner();
    this.emptyLineBytes = 0;
    this.hasBegun = false;
    if (waiting) parse(waiting);
    if (this.isDetached) {
      // What follows the head is of the other protocol.
      this.unhandled.restore();
      return this.updateHeld();
    }
    if (this.hasEnded) return;
    const {current} = this;
    if (phase === 'trailers') {
      if (current) current.trailers = this.takeHeader();
      return this.endMessage();
    }
    if (!current) {
      // The server has answered by itself, as to an expectation that it lacks.
      this.stop();
      if (this.openCount === 0) socket.destroySoon();
    } else if (current.request.complete) {
      this.endMessage();
    } else if (current.request.headers['transfer-encoding'] !== undefined) {
      this.chunks = new ChunkScanner();
      this.phase = 'chunks';
    } else {
      this.phase = 'body';
    }
  }

  private readBody(bytes: Buffer): void {
    const {current} = this;
    if (!current) return;
    const piece = bytes.subarray(0, current.leftBytes);
    current.leftBytes -= piece.length;
    this.unhandled.drop(piece.length);
    this.handOverBody(piece);
    if (current.leftBytes === 0) this.endMessage();
  }

  private readChunks(bytes: Buffer): void {
    const end = this.chunks.scan(bytes, MAX_CHUNKS_AT_ONCE);
    this.unhandled.drop(end);
    this.handOverBody(bytes.subarray(0, end));
    if (this.hasEnded) return;
    if (this.chunks.isAtTrailers) this.phase = 'trailers';
    else this.mustYield = true;
  }

  private handOverBody(bytes: Buffer): void {
    const {current} = this;
    this.options.parse(bytes);
    if (!current?.isAnswered) return;
    current.droppedBytes += bytes.length;
    if (current.droppedBytes > MAX_DROPPED_BYTES) {
      this.closeSocket('body', 'answered');
    }
  }

  private endMessage(): void {
    if (this.hasEnded) return;
    // The parser and the reader must agree on where a request ends.
    if (!this.current?.request.complete) {
      return this.closeSocket('header', 'framing');
    }
    this.current = null;
    this.phase = 'head';
    this.mustYield = true;
  }

  private refuse(cause: HeadRefusal): void {
    // A request with trailers has begun, and is answered by its handler.
    if (this.phase === 'trailers') {
      return this.closeSocket('header', 'trailers');
    }
    this.options.recordRejection('header', cause);
    this.refusal = cause;
    this.stop();
    // The answers to earlier requests go first.
    if (this.openCount === 0) this.writeRefusal();
  }

  private writeRefusal(): void {
    const {socket, refuse} = this.options;
    if (!socket.writable || !this.refusal) return;
    refuse(socket, this.refusal);
    // Closing with bytes unread resets the connection, which may cut the refusal.
    setTimeout(() => socket.destroy(), REFUSAL_TIMEOUT_MS).unref();
  }

  private closeSocket(kind: 'header' | 'body', cause: string): void {
    this.options.recordRejection(kind, cause);
    this.stop();
    this.options.socket.destroy();
  }

  /** Reads nothing more. */
  private stop(): void {
    const {socket} = this.options;
    this.phase = 'ended';
    socket.off('readable', this.advance);
    Reflect.deleteProperty(socket, 'pause');
    Reflect.deleteProperty(socket, 'resume');
    this.header?.release();
    this.header = null;
    if (this.isDetached) return;
    this.waiting = null;
    this.partial.clear();
    this.unhandled.clear();
  }
}
