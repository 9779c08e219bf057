/**
 * Sends one HTTP call and knows whether any of it reached a socket.
 *
 * Every call ends: by its answer, by the caller's signal, by its deadline, or
 * because no byte came for as long as `silenceMs`.
 */
import {request, type Dispatcher as HttpDispatcher} from 'undici';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {AttemptError} from '../../coordination/requests/dispatch.ts';

/** The most bytes that are read after the last one wanted. */
const MAX_DRAINED_BYTES = 64 * 1024;

export interface SendCallOptions {
  readonly dispatcher: HttpDispatcher;
  readonly address: string;
  readonly method: string;
  /** The path with its query. */
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: Buffer | string | null;
  readonly signal: AbortSignal;
  readonly deadlineMs: number;
  /** The longest wait for the next byte. */
  readonly silenceMs: number;
  /** Called when the connection turns out to be silent. */
  readonly onSilence: () => void;
}

/** An answer whose body is read under the same limits as the call. */
export interface CallResponse {
  readonly status: number;
  readonly headers: HttpDispatcher.ResponseData['headers'];
  /** Yields the body; a failure is the last element if it breaks off. */
  readBody(): AsyncGenerator<Outcome<Buffer, AttemptError>, void>;
  /**
   * Ends the call. With `drain` the little that may follow is read, so that
   * the connection can be used again; else an unread body closes it.
   */
  close(options?: {readonly drain?: boolean}): void;
}

/** Sends the call and resolves with the head of its answer. */
export async function sendCall(
  options: SendCallOptions,
): Promise<Outcome<CallResponse, AttemptError>> {
  const watchdog = new CallWatchdog(options);
  try {
    const response = await request(`http://${options.address}${options.path}`, {
      method: options.method as HttpDispatcher.HttpMethod,
      dispatcher: trackStart(options.dispatcher, () => watchdog.recordStart()),
      signal: watchdog.signal,
      headers: options.headers,
      body: options.body,
    });
    watchdog.resume();
    return succeed(createResponse(response, watchdog));
  } catch (error) {
    watchdog.stop();
    return fail(watchdog.createError(error));
  }
}

function createResponse(
  response: HttpDispatcher.ResponseData,
  watchdog: CallWatchdog,
): CallResponse {
  const {body} = response;
  // An error after the reader has left must not end the process.
  body.on('error', () => {});
  return {
    status: response.statusCode,
    headers: response.headers,
    async *readBody() {
      try {
        // Whoever stops early decides in `close` what becomes of the rest.
        for await (const bytes of body.iterator({destroyOnReturn: false})) {
          watchdog.pause();
          yield succeed(bytes as Buffer);
          watchdog.resume();
        }
      } catch (error) {
        yield fail(watchdog.createError(error));
      }
    },
    close({drain = false} = {}) {
      if (drain && !body.readableEnded && !body.destroyed) {
        watchdog.resume();
        const stop = () => watchdog.stop();
        body.dump({limit: MAX_DRAINED_BYTES}).then(stop, stop);
        return;
      }
      watchdog.stop();
      if (!body.readableEnded) body.destroy();
    },
  };
}

/** Wraps a dispatcher so that `onStart` runs before the first byte. */
function trackStart(
  dispatcher: HttpDispatcher,
  onStart: () => void,
): HttpDispatcher {
  return dispatcher.compose(
    dispatch => (options, handler) =>
      dispatch(options, new StartTracker(handler, onStart)),
  );
}

/** Passes all on to another handler. */
class StartTracker implements HttpDispatcher.DispatchHandler {
  constructor(
    private readonly handler: HttpDispatcher.DispatchHandler,
    private readonly onStart: () => void,
  ) {}

  onRequestStart(
    ...args: Parameters<NonNullable<Handler['onRequestStart']>>
  ): void {
    this.onStart();
    this.handler.onRequestStart?.(...args);
  }

  onResponseStart(
    ...args: Parameters<NonNullable<Handler['onResponseStart']>>
  ): void {
    this.handler.onResponseStart?.(...args);
  }

  onResponseData(
    ...args: Parameters<NonNullable<Handler['onResponseData']>>
  ): void {
    this.handler.onResponseData?.(...args);
  }

  onResponseEnd(
    ...args: Parameters<NonNullable<Handler['onResponseEnd']>>
  ): void {
    this.handler.onResponseEnd?.(...args);
  }

  onResponseError(
    ...args: Parameters<NonNullable<Handler['onResponseError']>>
  ): void {
    this.handler.onResponseError?.(...args);
  }
}

type Handler = HttpDispatcher.DispatchHandler;

/** Watches one call: whether it started, and for how long it is silent. */
class CallWatchdog {
  private readonly controller = new AbortController();
  private readonly deadlineTimer: NodeJS.Timeout;
  private silenceTimer: NodeJS.Timeout;
  private started = false;
  private isWaiting = true;
  private reason = '';
  private silent = false;

  constructor(private readonly options: SendCallOptions) {
    const {deadlineMs, silenceMs, signal} = options;
    this.deadlineTimer = setTimeout(
      () => this.abort('the deadline passed'),
      Math.max(0, deadlineMs),
    );
    this.silenceTimer = setTimeout(() => this.handleSilence(), silenceMs);
    if (signal.aborted) this.handleSignal();
    else signal.addEventListener('abort', this.handleSignal, {once: true});
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Notes that the call is about to be written to a socket. */
  recordStart(): void {
    if (this.started)
      throw new Error('Could not send a call for a second time');
    this.started = true;
  }

  /** Waits for the next byte from now on. */
  resume(): void {
    this.isWaiting = true;
    this.silenceTimer.refresh();
  }

  /** Counts no silence while the reader is busy with what came. */
  pause(): void {
    this.isWaiting = false;
  }

  stop(): void {
    clearTimeout(this.deadlineTimer);
    clearTimeout(this.silenceTimer);
    this.options.signal.removeEventListener('abort', this.handleSignal);
  }

  createError(error: unknown): AttemptError {
    const message = this.reason || (error as Error).message;
    const {started, silent} = this;
    return {kind: started ? 'lost' : 'not-sent', message, silent};
  }

  private readonly handleSignal = () => this.abort('the call was cancelled');

  private handleSilence(): void {
    if (!this.isWaiting) {
      this.silenceTimer.refresh();
      return;
    }
    this.silent = true;
    this.options.onSilence();
    this.abort('the connection is silent');
  }

  private abort(reason: string): void {
    this.reason = reason;
    this.controller.abort();
  }
}
