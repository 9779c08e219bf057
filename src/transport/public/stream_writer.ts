/** Writes an answer to its caller as server-sent events. */
import type {ServerResponse} from 'node:http';
import type {RequestError, Usage} from '../../protocol/completion.ts';
import type {Outcome} from '../../protocol/outcome.ts';
import type {CompletionEvent} from '../../coordination/requests/run_completion.ts';
import {describeError, sendError} from './http_errors.ts';

/** How often a comment line is sent on an idle stream. */
const KEEP_ALIVE_INTERVAL_MS = 1_000;

/** Time to drain a full write buffer before a caller is disconnected. */
const STALL_TIMEOUT_MS = 30_000;

/** Formats token counts as in OpenAI's API. */
export function describeUsage(usage: Usage) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
  };
}

/** Writes a stream to a caller. Dispose it after the last event. */
export class StreamWriter implements Disposable {
  private readonly created = Math.floor(Date.now() / 1_000);
  private readonly keepAliveTimer: NodeJS.Timeout;
  private chunkPrefix = '';
  private isAccepted = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
    private readonly includeUsage: boolean,
  ) {
    this.keepAliveTimer = setInterval(
      () => this.writeKeepAlive(),
      KEEP_ALIVE_INTERVAL_MS,
    );
  }

  [Symbol.dispose](): void {
    clearInterval(this.keepAliveTimer);
  }

  /** Writes an event; under backpressure, returns a promise to await. */
  write(event: Outcome<CompletionEvent, RequestError>): Promise<void> | null {
    if (!event.ok) {
      this.writeError(event.error);
      return null;
    }
    const {value} = event;
    switch (value.type) {
      case 'accepted':
        this.isAccepted = true;
        if (value.moved) {
          this.response.setHeader('x-session-moved', 'withdrawn');
        }
        return null;
      case 'start':
        this.writeStart(value.version);
        return null;
      case 'delta':
        return this.writeText(
          `${this.chunkPrefix}"choices":[{"index":0,"delta":{"content":` +
            `${JSON.stringify(value.text)}},"finish_reason":null}]}\n\n`,
        );
      case 'end':
        return this.writeText(this.formatEnd(value.finishReason, value.usage));
    }
  }

  private writeStart(version: string): void {
    if (!this.response.headersSent) {
      this.response.setHeader('x-version', version);
    }
    this.sendHead();
    const head = JSON.stringify({
      id: this.requestId,
      object: 'chat.completion.chunk',
      created: this.created,
      model: version,
    });
    // Serialised once, since it is the same in every chunk.
    this.chunkPrefix = `data: ${head.slice(0, -1)},`;
    this.writeText(
      `${this.chunkPrefix}"choices":[{"index":0,"delta":{"role":"assistant",` +
        `"content":""},"finish_reason":null}]}\n\n`,
    );
  }

  private formatEnd(finishReason: string, usage: Usage): string {
    const choice = {index: 0, delta: {}, finish_reason: finishReason};
    const last = `${this.chunkPrefix}"choices":[${JSON.stringify(choice)}]}\n\n`;
    const described = JSON.stringify(describeUsage(usage));
    const usageChunk = this.includeUsage
      ? `${this.chunkPrefix}"choices":[],"usage":${described}}\n\n`
      : '';
    return `${last}${usageChunk}data: [DONE]\n\n`;
  }

  private sendHead(): void {
    if (this.response.headersSent) return;
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
    });
  }

  /** Sends a comment line to keep the connection alive. */
  private writeKeepAlive(): void {
    const {response} = this;
    if (!this.isAccepted || response.destroyed || response.writableEnded)
      return;
    this.sendHead();
    // Nothing is buffered on top for a caller that does not read.
    if (!response.writableNeedDrain) response.write(': waiting\n\n');
  }

  private writeError(error: RequestError): void {
    const {response, requestId} = this;
    if (!response.headersSent) {
      sendError(response, requestId, error);
      return;
    }
    if (response.destroyed) return;
    response.write(
      `data: ${JSON.stringify(describeError(requestId, error))}\n\n`,
    );
  }

  private writeText(text: string): Promise<void> | null {
    const {response} = this;
    this.keepAliveTimer.refresh();
    if (response.destroyed || response.write(text)) return null;
    return new Promise<void>(resolve => {
      const finish = () => {
        clearTimeout(stallTimer);
        response.off('drain', finish);
        response.off('close', finish);
        resolve();
      };
      // A caller that reads nothing would occupy a slot that others wait for.
      const stallTimer = setTimeout(() => response.destroy(), STALL_TIMEOUT_MS);
      response.on('drain', finish);
      response.on('close', finish);
    });
  }
}
