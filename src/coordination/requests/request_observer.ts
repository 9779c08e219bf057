/** What other parts learn from requests: quality, roll-outs and metrics. */
import type {RequestOutcome} from '../../protocol/completion.ts';
import type {Bill} from '../../protocol/ledger.ts';

/** One attempt that ended. */
export interface AttemptObservation {
  readonly kind: 'completion' | 'call';
  readonly requestId: string;
  readonly customer: string;
  /** The version as `model/version`, or the service's name. */
  readonly target: string;
  readonly endpoint: string;
  readonly result: 'answered' | 'failed' | 'cancelled';
  readonly firstTokenMs?: number;
  /** The time to the first token that the customer expects. */
  readonly expectedFirstTokenMs?: number;
  /** The mean time between chunks. */
  readonly tokenGapMs?: number;
  /** For how long the attempt kept a slot of its endpoint. */
  readonly durationMs: number;
  /** Bytes of text that crossed the link between regions. */
  readonly remoteBytes: number;
}

/** A whole answer of a version, released to a caller or not. */
export interface AnswerObservation {
  readonly requestId: string;
  readonly customer: string;
  readonly requestClass: string;
  readonly version: string;
  readonly prompt: unknown;
  readonly answer: string;
  /** False for an answer of a cascade, gate or shadow that was not shown. */
  readonly released: boolean;
  /** The score, where the answer was rated before its release. */
  readonly score?: number;
}

/** One request that ended. */
export interface RequestObservation {
  readonly requestId: string;
  readonly customer: string;
  readonly kind: 'completion' | 'call';
  readonly outcome: RequestOutcome;
  /** The code of the error; empty for an answer. */
  readonly code: string;
  readonly durationMs: number;
  readonly queuedMs: number;
  readonly firstTokenMs?: number;
  readonly attempts: number;
  readonly bill?: Bill;
}

/** Takes observations. None of them may wait or throw. */
export interface RequestObserver {
  observeAttempt(observation: AttemptObservation): void;
  observeAnswer(observation: AnswerObservation): void;
  observeRequest(observation: RequestObservation): void;
}

/** An observer that passes all on to several. */
export function combineObservers(
  observers: readonly RequestObserver[],
): RequestObserver {
  return {
    observeAttempt: each => observers.forEach(o => o.observeAttempt(each)),
    observeAnswer: each => observers.forEach(o => o.observeAnswer(each)),
    observeRequest: each => observers.forEach(o => o.observeRequest(each)),
  };
}
