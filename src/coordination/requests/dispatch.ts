/** What the request path needs of the transport towards endpoints. */
import type {
  AnswerEvent,
  CompletionRequest,
} from '../../protocol/completion.ts';
import type {Outcome} from '../../protocol/outcome.ts';

/** Why an attempt gave no answer, or not all of it. */
export interface AttemptError {
  /**
   * `not-sent`: no byte of the call was handed to a socket.
   * `refused`: the endpoint said that it did not run the call.
   * `lost`: the call may have run.
   */
  readonly kind: 'not-sent' | 'refused' | 'lost';
  readonly message: string;
  /** True when the connection gave no byte for too long. */
  readonly silent?: boolean;
}

/** One try of a completion at one endpoint. */
export interface CompletionAttempt {
  readonly address: string;
  readonly attemptId: string;
  readonly requestId: string;
  readonly customer: string;
  readonly version: string;
  readonly request: CompletionRequest;
  /** The first chunk wanted: 0, or where an earlier attempt ended. */
  readonly resumeOffset: number;
  /** The text of the answer before `resumeOffset`. */
  readonly resumeText: string;
  readonly deadlineMs: number;
  readonly priority: number;
  readonly repeatable: boolean;
}

/** One try of a call of a plain service. */
export interface ServiceAttempt {
  readonly address: string;
  readonly attemptId: string;
  readonly requestId: string;
  readonly customer: string;
  readonly key: string;
  readonly method: string;
  /** The path with its query, as the service knows it. */
  readonly path: string;
  readonly contentType?: string;
  readonly body: Buffer;
  readonly deadlineMs: number;
  /** How long the service may be silent; the deadline where none is set. */
  readonly silenceMs: number;
  readonly repeatable: boolean;
}

/** What a plain service answered. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** Sends work to endpoints. */
export interface Dispatcher {
  /**
   * Opens a stream of answer events. The iterable yields a failure as its
   * last element when the stream breaks off.
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
