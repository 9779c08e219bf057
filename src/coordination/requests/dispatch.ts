/** The interface of the request path to the endpoint transport. */
import type {
  AnswerEvent,
  CompletionRequest,
} from '../../protocol/completion.ts';
import type {Outcome} from '../../protocol/outcome.ts';

/** Why an attempt gave no complete answer. */
export interface AttemptError {
  /**
   * `not-sent`: no byte of the call was handed to a socket.
   * `refused`: the endpoint reported that it did not run the call.
   * `lost`: the call may have run.
   */
  readonly kind: 'not-sent' | 'refused' | 'lost';
  readonly message: string;
  /** Whether the connection was idle for longer than its timeout. */
  readonly silent?: boolean;
}

/** An attempt whose connection was idle for its timeout. */
export interface Stall {
  /** How long no byte arrived. */
  readonly silentMs: number;
  /** Whether a byte of the call was handed to a socket. */
  readonly sent: boolean;
}

/**
 * Decides what becomes of a stalled attempt. `leave` ends it at once, so that
 * its successor never runs beside it; `listen` keeps it, and asks again later.
 */
export type DecideStall = (stall: Stall) => 'leave' | 'listen';

/** One attempt to run a completion at an endpoint. */
export interface CompletionAttempt {
  readonly address: string;
  readonly attemptId: string;
  readonly requestId: string;
  readonly customer: string;
  readonly version: string;
  readonly request: CompletionRequest;
  /** The first chunk to send: 0, or the one after an earlier attempt's last. */
  readonly resumeOffset: number;
  /** The text of the answer before `resumeOffset`. */
  readonly resumeText: string;
  readonly deadlineMs: number;
  readonly priority: number;
  readonly repeatable: boolean;
  /** A stalled attempt is left by default. */
  readonly decideStall?: DecideStall;
}

/** One attempt to call a plain service at an endpoint. */
export interface ServiceAttempt {
  readonly address: string;
  readonly attemptId: string;
  readonly requestId: string;
  readonly customer: string;
  readonly key: string;
  readonly method: string;
  /** The path with its query, relative to the service. */
  readonly path: string;
  readonly contentType?: string;
  readonly body: Buffer;
  readonly deadlineMs: number;
  /** The idle timeout of the connection; the deadline if the call has none. */
  readonly silenceMs: number;
  readonly repeatable: boolean;
  /** A stalled attempt is left by default. */
  readonly decideStall?: DecideStall;
}

/** The response of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** Sends requests to endpoints. */
export interface Dispatcher {
  /**
   * Opens a stream of answer events. The iterable yields a failure as its
   * last element if the stream is interrupted.
   */
  openCompletion(
    attempt: CompletionAttempt,
    signal: AbortSignal,
  ): AsyncIterable<Outcome<AnswerEvent, AttemptError>>;
  /** Makes one call of a plain service. */
  callService(
    attempt: ServiceAttempt,
    signal: AbortSignal,
  ): Promise<Outcome<ServiceAnswer, AttemptError>>;
}
