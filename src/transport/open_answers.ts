/**
 * Tracks the answers of an HTTP server until they are sent.
 *
 * Node.js takes a connection for idle as soon as its answer was written, and
 * discards what a slow reader has not received when it closes idle connections.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Clock} from '../protocol/clock.ts';
import {closeServer} from './http_server.ts';

/** Grace period for open requests when the server closes. */
const CLOSE_GRACE_MS = 300;

/** How long a reader may make no progress once idle connections are closed. */
const STALL_TIMEOUT_MS = 10_000;

export class OpenAnswers {
  private readonly open = new Set<ServerResponse>();
  private readonly waiting = new Set<() => void>();
  private isClosing = false;

  constructor(
    private readonly server: Server,
    private readonly stallTimeoutMs = STALL_TIMEOUT_MS,
  ) {
    server.on('request', (_request: IncomingMessage, answer: ServerResponse) =>
      this.track(answer),
    );
  }

  /** The number of requests whose answers are not sent. */
  get count(): number {
    return this.open.size;
  }

  /**
   * Closes the connections without an open request, now or once no written
   * answer waits for its reader. A reader that stalls is disconnected.
   */
  closeIdleConnections(): void {
    const written = this.listWritten();
    this.isClosing = written.length > 0;
    if (!this.isClosing) return this.server.closeIdleConnections();
    for (const answer of written) {
      answer.setTimeout(this.stallTimeoutMs, () => answer.destroy());
    }
  }

  /** Resolves once no written answer waits for its reader. */
  async waitUntilSent(): Promise<void> {
    while (this.listWritten().length > 0) {
      await new Promise<void>(resolve => this.waiting.add(resolve));
    }
  }

  /** Closes the server. Requests accepted just before are still answered. */
  async closeServer(clock: Clock): Promise<void> {
    const closed = new AbortController();
    const grace = clock.sleep(CLOSE_GRACE_MS, closed.signal);
    await Promise.race([this.waitUntilSent(), grace]);
    await closeServer(this.server, {waitForRequests: () => grace});
    closed.abort('closed');
  }

  private track(answer: ServerResponse): void {
    this.open.add(answer);
    answer.once('close', () => {
      this.open.delete(answer);
      if (this.isClosing) this.closeIdleConnections();
      for (const resolve of this.waiting) resolve();
      this.waiting.clear();
    });
  }

  /** Lists the answers that were written and not sent. */
  private listWritten(): ServerResponse[] {
    return [...this.open].filter(({writableEnded}) => writableEnded);
  }
}
