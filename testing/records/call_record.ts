/** Records of callers, endpoints and daemons, as the checkers read them. */

/** The outcome of a request as its caller saw it. */
export type CallOutcome =
  | 'answered'
  | 'not-run'
  | 'unknown'
  /** No complete reply arrived. */
  | 'no-reply';

/** One attempt of a request, as recorded by its caller. */
export interface CallRecord {
  kind: 'completion' | 'call';
  customer: string;
  key: string;
  /** Whether the declaration allows the call to run more than once. */
  repeatable: boolean;
  session?: string;
  /** The prompt, or the body of a service call. */
  content: string;
  /** The address that the request was sent to. */
  gateway: string;
  startedAtMs: number;
  endedAtMs: number;
  /** The time of the first token, for a stream. */
  firstTokenAtMs?: number;
  status: number;
  outcome: CallOutcome;
  /** The error code of the reply or of the failed connection. */
  code: string;
  /** Empty if no headers arrived. */
  requestId: string;
  /** The version named by the answer; empty for a service. */
  version: string;
  /** Whether the reply reported that the session moved. */
  moved: boolean;
  /** The text of the answer, or the body of a service's reply. */
  text: string;
}

/** One run of a request, as recorded by the endpoint. */
export interface RunRecord {
  kind: 'completion' | 'call';
  endpoint: string;
  requestId: string;
  attemptId: string;
  customer: string;
  /** The version as `model/version`; empty for a service. */
  version: string;
  /** The idempotency key, if the endpoint receives one. */
  key: string;
  startedAtMs: number;
  finished: boolean;
  /** The answer of a service. */
  answer: string;
}

/** The configuration that a daemon's status reported at one time. */
export interface ConfigurationRecord {
  host: string;
  atMs: number;
  /** The declaration's version number; `null` without a lease. */
  version: number | null;
}
