/** Counts what one request takes of the memory of the process. */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {
  MemoryAccount,
  MemoryHolder,
} from '../../coordination/memory_account/memory_account.ts';

/** Smaller answers are counted only if they are not read at once. */
const MIN_COUNTED_ANSWER_BYTES = 16 * 1024;

/** A request whose memory is counted. */
export class GuardedRequest {
  /** What its body holds; `null` while it holds nothing. */
  private body: MemoryHolder | null = null;
  private answer: MemoryHolder | null = null;
  private isClosed = false;
  private retained = 0;

  /** @param header What its header section holds; `null` if that is ordinary. */
  constructor(
    private readonly memory: MemoryAccount,
    private readonly socket: Socket,
    private readonly header: MemoryHolder | null,
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

  /** Keeps head and body reserved until the result is called, too. */
  retain(): () => void {
    this.retained++;
    return () => {
      this.retained--;
      this.releaseRequest();
    };
  }

  /** Ends the reservations, as the answer is sent or the connection closed. */
  close(): void {
    this.isClosed = true;
    this.answer?.release();
    this.releaseRequest();
  }

  private releaseRequest(): void {
    if (!this.isClosed || this.retained > 0) return;
    this.body?.release();
    this.header?.release();
  }
}

const requests = new WeakMap<IncomingMessage, GuardedRequest>();

/** Keeps the account of a request for `findGuarded()`. */
export function setGuarded(
  request: IncomingMessage,
  guarded: GuardedRequest,
): void {
  requests.set(request, guarded);
}

/** Finds the account of a request; `null` if its server has no guard. */
export function findGuarded(request: IncomingMessage): GuardedRequest | null {
  return requests.get(request) ?? null;
}

/** Names the caller of a connection in logs. */
export function describeCaller({remoteAddress, remotePort}: Socket): string {
  return `${remoteAddress}:${remotePort}`;
}
