/**
 * Sends one HTTP call and tracks whether writing it to a socket began.
 *
 * Every call ends: with its answer, by the caller's signal, by its deadline, or
 * because no byte arrived for `silenceMs` and `decideStall` then leaves it.
 */
import {request, type Dispatcher as HttpDispatcher} from 'undici';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {
  AttemptError,
  DecideStall,
} from '../../coordination/requests/dispatch.ts';

/** Maximum number of bytes drained to reuse a connection. */
const MAX_DRAINED_BYTES = 64 * 1024;

/** How often it is decided again whether a silent call is left. */
const STALL_RECHECK_MS = 250;

export interface SendCallOptions {
  readonly dispatcher: HttpDispatcher;
  readonly address: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: Buffer | string | null;
  readonly signal: AbortSignal;
  readonly deadlineMs: number;
  /** Timeout for the next byte. */
  readonly silenceMs: number;
  /** Called once for each time that no byte arrived for `silenceMs`. */
  readonly onSilence: () => void;
  /** Whether a silent call is left; by default it is. */
  readonly decideStall?: DecideStall;
}

/** An answer whose body is read with the timeouts of the call. */
export interface CallResponse {
  readonly status: number;
  readonly headers: HttpDispatcher.ResponseData['headers'];
  /** Yields the body; if it breaks off, the last element is a failure. */
  readBody(): AsyncGenerator<Outcome<Buffer, AttemptError>, void>;
  /**
   * Ends the call. With `drain`, the rest of a short body is read, so that the
   * connection can be reused; otherwise an unread body closes it.
   */
  close(options?: {readonly drain?: boolean}): void;
}

/** Sends the call; resolves once the headers of its answer arrived. */
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
  // An error after the reader has stopped must not crash the process.
  body.on('error', () => {});
  return {
    status: response.statusCode,
    headers: response.headers,
    async *readBody() {
      try {
        // If reading stops early, `close` drains or destroys the rest.
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

/** Wraps a dispatcher to call `onStart` before the first byte is written. */
function trackStart(
  dispatcher: HttpDispatcher,
  onStart: () => void,
): HttpDispatcher {
  return dispatcher.compose(
    dispatch => (options, handler) =>
      dispatch(options, new StartTracker(handler, onStart)),
  );
}

/** Calls `onStart` and forwards all events to another handler. */
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

/** Records whether a call started, and aborts it on a timeout or signal. */
class CallWatchdog {
  private readonly controller = new AbortController();
  private readonly deadlineTimer: NodeJS.Timeout;
  private silenceTimer: NodeJS.Timeout;
  private started = false;
  private isWaiting = true;
  private isStalled = false;
  /** When the call began to wait for its next byte. */
  private waitingSince = performance.now();
  private reason = '';
  private silent = false;

  constructor(private readonly options: SendCallOptions) {
    const {deadlineMs, silenceMs, signal} = options;
    this.deadlineTimer = setTimeout(
      () => this.abort('the deadline passed'),
      Math.max(0, deadlineMs),
    );
    this.silenceTimer = this.startSilenceTimer(silenceMs);
    if (signal.aborted) this.handleSignal();
    else signal.addEventListener('abort', this.handleSignal, {once: true});
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Records that the call is about to be written to a socket. */
  recordStart(): void {
    if (this.started)
      throw new Error('Could not send a call for a second time');
    this.started = true;
  }

  /** Restarts the timeout for the next byte. */
  resume(): void {
    this.isWaiting = true;
    this.waitingSince = performance.now();
    if (!this.isStalled) {
      this.silenceTimer.refresh();
      return;
    }
    this.isStalled = false;
    clearTimeout(this.silenceTimer);
    this.silenceTimer = this.startSilenceTimer(this.options.silenceMs);
  }

  /** Suspends the timeout while the reader processes received bytes. */
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

  private startSilenceTimer(ms: number): NodeJS.Timeout {
    return setTimeout(() => this.handleSilence(), ms);
  }

  private handleSilence(): void {
    if (!this.isWaiting) {
      this.silenceTimer.refresh();
      return;
    }
    const {onSilence, decideStall} = this.options;
    if (!this.isStalled) onSilence();
    this.isStalled = true;
    const silentMs = performance.now() - this.waitingSince;
    const decision = decideStall?.({silentMs, sent: this.started}) ?? 'leave';
    if (decision === 'listen') {
      this.silenceTimer = this.startSilenceTimer(STALL_RECHECK_MS);
      return;
    }
    this.silent = true;
    this.abort('the connection is silent');
  }

  private abort(reason: string): void {
    this.reason = reason;
    this.controller.abort();
  }
}
