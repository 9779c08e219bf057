/** Types of a request, its attempts and their answers. */
import type {AnswerMemory} from './answer_budget.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {EndpointNotice} from './endpoint_notices.ts';

/** A header as received, in its original case. */
export type Header = readonly [name: string, value: string];

/** One part of a prompt. Prompts that begin with equal parts share a prefix. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What is known of a request from its headers. */
export interface CallFacts {
  /** The caller's id of this attempt; a retry by the caller has a new one. */
  readonly attemptId: string | null;
  /** The caller's timeout, in ms; `null` when not given. */
  readonly budgetMs: number | null;
  /** The caller's key; `null` without one. */
  readonly key: string | null;
  /** The session of the request; `null` without one. */
  readonly session: string | null;
  /** The model that the caller requests; `null` without one. */
  readonly model: string | null;
  /** Whether the gateway chooses the model. */
  readonly isModelOpen: boolean;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output tokens; often far off. */
  readonly outputTokensHint: number | null;
  readonly prompt: readonly PromptPart[];
  /** The last event that the caller received of a stream that it resumes. */
  readonly lastEventId: string | null;
}

/** What a gateway that relays a request tells of it. */
export interface RelayedCall {
  /** The attempts that may have run before. */
  readonly runs: number;
}

/** A request with its whole body. */
export interface Call {
  readonly method: string;
  /** The path and query, unchanged. */
  readonly path: string;
  readonly host: string;
  readonly headers: readonly Header[];
  readonly body: Buffer;
  /** Returns the digest of the body. */
  readonly digestBody: () => string;
  readonly facts: CallFacts;
  /** How another gateway relayed it; absent if it came from its caller. */
  readonly relayed?: RelayedCall | undefined;
  /** When its headers were received, on the monotonic clock. */
  readonly receivedAt: number;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** The options of one attempt at an endpoint. */
export interface AttemptOptions {
  readonly endpoint: EndpointEntry;
  /** The customer's name; `null` on public routes. */
  readonly customer: string | null;
  /** The model that the gateway chose; `null` leaves the caller's choice. */
  readonly model: string | null;
  /** The urgency at the endpoint; 0 goes first. `null` leaves its default. */
  readonly urgency: number | null;
  /** The event after which the stream resumes. */
  readonly lastEventId: string | null;
  /** The time that the endpoint has to answer, in ms. */
  readonly budgetMs: number;
  /** Whether it may be sent on a connection that was used before. */
  readonly mayReuseConnection: boolean;
  /**
   * Whether the endpoint still accepts it. Checked right before the first byte
   * is written, since opening a connection takes time.
   */
  readonly mayBegin: () => boolean;
  readonly signal: AbortSignal;
}

/** What is known of an answer from its headers. */
export interface AnswerFacts extends EndpointNotice {
  readonly attemptId: string | null;
  /** Whether the endpoint reports that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the answer carries the endpoint's response stamp. */
  readonly isSigned: boolean;
  /** The endpoint's load as of the answer; `null` when not reported. */
  readonly load: ReportedLoad | null;
  /** The model's confidence in its answer, 0 to 100; `null` without one. */
  readonly confidence: number | null;
  /**
   * The requests per second that the endpoint accepts from all gateways
   * together; `NaN` when it could not be parsed, `null` without a limit.
   */
  readonly limitPerSecond: number | null;
}

export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work takes at this moment in percent of the usual time; absent if
   * the endpoint does not report it.
   */
  readonly workPercent?: number;
}

/** An answer whose headers have been received. */
export interface EndpointAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly facts: AnswerFacts;
  /** Whether its end differs from a connection that closes. */
  readonly isDelimited: boolean;
  /** Yields the body; throws when it breaks off. */
  readonly body: AsyncIterable<Uint8Array>;
  /** Discards the rest of the answer and closes its connection. */
  cancel(): void;
  /** What it keeps of the gateway's memory; by default without a bound. */
  readonly memory?: AnswerMemory;
}

/** The outcome of sending one attempt. */
export type AttemptOutcome =
  | {readonly type: 'answer'; readonly answer: EndpointAnswer}
  /** Nothing was sent: no connection could be opened. */
  | {readonly type: 'not-sent'; readonly reason: string}
  /** Nothing was sent: the endpoint stopped accepting requests. */
  | {readonly type: 'withdrawn'}
  /** The endpoint reports that it did not and will not run it. */
  | {
      readonly type: 'not-run';
      readonly status: number;
      readonly facts: AnswerFacts;
    }
  /** It may have run. */
  | {readonly type: 'broken'; readonly reason: string}
  /** It may have run; what arrived is not its answer. */
  | {readonly type: 'invalid'; readonly reason: string}
  /** The gateway aborted the attempt; it may have run. */
  | {readonly type: 'aborted'};

/** Sends one attempt; resolves once the answer's headers are received. */
export type SendAttempt = (
  call: Call,
  options: AttemptOptions,
) => Promise<AttemptOutcome>;

/** Writes the answer to a caller. */
export interface CallerSink {
  /** Whether the first byte of an answer was written. */
  readonly hasBegun: boolean;
  /** Writes a whole answer. */
  answer(status: number, headers: readonly Header[], body: Uint8Array): void;
  /** Begins a streamed answer. */
  begin(status: number, headers: readonly Header[]): void;
  /** Writes a piece; resolves when the caller can receive the next. */
  write(bytes: Uint8Array): Promise<void>;
  end(): void;
  /** Breaks the answer off so that it cannot look complete. */
  abort(): void;
}
