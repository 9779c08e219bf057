/**
 * Tracks the answers of an HTTP server until they are sent.
 *
 * Node.js takes a connection for idle as soon as its answer was written, and
 * discards what a slow reader has not received when it closes idle connections.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

export class OpenAnswers {
  private readonly open = new Set<ServerResponse>();
  private readonly waiting = new Set<() => void>();
  private isClosing = false;

  constructor(private readonly server: Server) {
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
   * answer waits for its reader.
   */
  closeIdleConnections(): void {
    this.isClosing = this.isSending();
    if (!this.isClosing) this.server.closeIdleConnections();
  }

  /** Resolves once no written answer waits for its reader. */
  async waitUntilSent(): Promise<void> {
    while (this.isSending()) {
      await new Promise<void>(resolve => this.waiting.add(resolve));
    }
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

  private isSending(): boolean {
    return [...this.open].some(({writableEnded}) => writableEnded);
  }
}
