/** Observations of requests for quality estimates, roll-outs and metrics. */
import type {RequestOutcome} from '../../protocol/completion.ts';
import type {Bill} from '../../protocol/ledger.ts';

/** A finished attempt. */
export interface AttemptObservation {
  readonly kind: 'completion' | 'call';
  readonly requestId: string;
  readonly customer: string;
  /** The version as `model/version`, or the service's name. */
  readonly target: string;
  readonly endpoint: string;
  readonly result: 'answered' | 'failed' | 'cancelled';
  readonly firstTokenMs?: number;
  /** The customer's target for the time to first token. */
  readonly expectedFirstTokenMs?: number;
  /** The mean time between chunks. */
  readonly tokenGapMs?: number;
  /** How long the attempt occupied a slot of its endpoint. */
  readonly durationMs: number;
  /** Bytes of text sent between regions. */
  readonly remoteBytes: number;
}

/** What became of an attempt whose connection was silent. */
export interface StallObservation {
  readonly kind: AttemptObservation['kind'];
  /** The version as `model/version`, or the service's name. */
  readonly target: string;
  /**
   * `resume`: it was left for what follows it. `wait`: it was kept. After that,
   * `spoke`: the endpoint went on. `ended`: the attempt ended without a word.
   */
  readonly outcome: 'resume' | 'wait' | 'spoke' | 'ended';
}

/** A complete answer of a version, released to a caller or not. */
export interface AnswerObservation {
  readonly requestId: string;
  readonly customer: string;
  readonly requestClass: string;
  readonly version: string;
  readonly prompt: unknown;
  readonly answer: string;
  /** False for an undelivered answer of a cascade, gate or shadow. */
  readonly released: boolean;
  /** The score, if the answer was rated before its release. */
  readonly score?: number;
}

/** A finished request. */
export interface RequestObservation {
  readonly requestId: string;
  readonly customer: string;
  readonly kind: 'completion' | 'call';
  readonly outcome: RequestOutcome;
  /** The error code; empty if the request was answered. */
  readonly code: string;
  readonly durationMs: number;
  readonly queuedMs: number;
  readonly firstTokenMs?: number;
  readonly attempts: number;
  readonly bill?: Bill;
}

/** Receives observations. Its methods must neither block nor throw. */
export interface RequestObserver {
  observeAttempt(observation: AttemptObservation): void;
  observeStall(observation: StallObservation): void;
  observeAnswer(observation: AnswerObservation): void;
  observeRequest(observation: RequestObservation): void;
}

/** Creates an observer that forwards to several others. */
export function combineObservers(
  observers: readonly RequestObserver[],
): RequestObserver {
  return {
    observeAttempt: each => observers.forEach(o => o.observeAttempt(each)),
    observeStall: each => observers.forEach(o => o.observeStall(each)),
    observeAnswer: each => observers.forEach(o => o.observeAnswer(each)),
    observeRequest: each => observers.forEach(o => o.observeRequest(each)),
  };
}
