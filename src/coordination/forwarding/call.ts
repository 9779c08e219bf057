/** A caller's request on its way through a gateway. */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {EndpointNotice} from './endpoint_notices.ts';

/** A header as it stood on the wire. */
export type Header = readonly [name: string, value: string];

/** One part of a prompt; requests that begin with the same parts share them. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What the headers of a request say. */
export interface CallFacts {
  /** The id of this attempt of the caller; every attempt has its own. */
  readonly attemptId: string | null;
  /** How long the caller waits, in ms; `null` when it does not say. */
  readonly budgetMs: number | null;
  /** The caller's key; `null` without one. */
  readonly key: string | null;
  /** What requests that belong together have in common. */
  readonly session: string | null;
  /** The model that the caller names; `null` without one. */
  readonly model: string | null;
  /** Whether the choice of the model is left to the gateway. */
  readonly isModelOpen: boolean;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's own guess of the output tokens; often far off. */
  readonly outputTokensHint: number | null;
  readonly prompt: readonly PromptPart[];
  /** The last event that the caller has of a stream that broke off. */
  readonly lastEventId: string | null;
}

/** A request that was read whole. */
export interface Call {
  readonly method: string;
  /** The path with its query, unchanged. */
  readonly path: string;
  readonly host: string;
  readonly headers: readonly Header[];
  readonly body: Buffer;
  readonly facts: CallFacts;
  /** When its headers were read, on the monotonic clock. */
  readonly receivedAt: number;
  /** Aborts when the caller leaves. */
  readonly signal: AbortSignal;
}

/** What the gateway adds to one attempt at an endpoint. */
export interface AttemptOptions {
  readonly endpoint: EndpointEntry;
  /** The customer's name; `null` on public routes. */
  readonly customer: string | null;
  /** The model that the gateway chose; `null` leaves the caller's word. */
  readonly model: string | null;
  /** The rank at the endpoint; 0 goes first. `null` leaves its default. */
  readonly urgency: number | null;
  /** The event after which the stream goes on. */
  readonly lastEventId: string | null;
  /** How long the endpoint may work, in ms. */
  readonly budgetMs: number;
  /** Whether a connection that was used before may carry it. */
  readonly mayReuseConnection: boolean;
  /**
   * Whether the endpoint may still receive it; asked right before the first
   * byte is written, since opening a connection takes time.
   */
  readonly mayBegin: () => boolean;
  readonly signal: AbortSignal;
}

/** What the headers of an endpoint's answer say. */
export interface AnswerFacts extends EndpointNotice {
  readonly attemptId: string | null;
  /** Whether the endpoint says that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the endpoint vouches for the answer. */
  readonly isSigned: boolean;
  /** The endpoint's load as of the answer; `null` when it does not tell. */
  readonly load: ReportedLoad | null;
  /** The model's opinion of its answer, 0 to 100; `null` without one. */
  readonly confidence: number | null;
}

export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** An answer whose headers have come. */
export interface EndpointAnswer {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly facts: AnswerFacts;
  /** Yields the body; throws when it breaks off. */
  readonly body: AsyncIterable<Uint8Array>;
  /** Drops the rest of the answer, and the connection with it. */
  cancel(): void;
}

/** What became of one attempt. */
export type AttemptOutcome =
  | {readonly type: 'answer'; readonly answer: EndpointAnswer}
  /** Nothing was sent, since no connection could be opened. */
  | {readonly type: 'not-sent'; readonly reason: string}
  /** Nothing was sent, since the endpoint may not receive it any more. */
  | {readonly type: 'withdrawn'}
  /** The endpoint says that it did not and will not run it. */
  | {
      readonly type: 'not-run';
      readonly status: number;
      readonly facts: AnswerFacts;
    }
  /** It may have run. */
  | {readonly type: 'broken'; readonly reason: string}
  /** The gateway gave the attempt up; it may have run. */
  | {readonly type: 'aborted'};

/** Sends one attempt and resolves once the headers of the answer came. */
export type SendAttempt = (
  call: Call,
  options: AttemptOptions,
) => Promise<AttemptOutcome>;

/** Where the answer to a caller goes. */
export interface CallerSink {
  /** Whether the first byte of an answer was written. */
  readonly hasBegun: boolean;
  /** Writes a whole answer. */
  answer(status: number, headers: readonly Header[], body: Uint8Array): void;
  /** Begins an answer in pieces. */
  begin(status: number, headers: readonly Header[]): void;
  /** Writes a piece; resolves once there is room for the next. */
  write(bytes: Uint8Array): Promise<void>;
  end(): void;
  /** Breaks the answer off so that it cannot look complete. */
  abort(): void;
}
