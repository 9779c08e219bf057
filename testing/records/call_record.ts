/** What a caller wrote down of one request, and what an endpoint did. */

/** How a request ended for its caller. */
export type CallOutcome =
  | 'answered'
  | 'not-run'
  | 'unknown'
  /** The reply, or the rest of it, never came. */
  | 'no-reply';

/** One request as its caller saw it. */
export interface CallRecord {
  kind: 'completion' | 'call';
  customer: string;
  key: string;
  /** Whether the declaration lets the call run again. */
  repeatable: boolean;
  session?: string;
  /** What was sent: the prompt, or the body of a service call. */
  content: string;
  /** The address that was asked. */
  gateway: string;
  startedAtMs: number;
  endedAtMs: number;
  /** The time of the first token, for a stream. */
  firstTokenAtMs?: number;
  status: number;
  outcome: CallOutcome;
  /** The reason that the system gave for a refusal. */
  code: string;
  /** Empty when no reply began. */
  requestId: string;
  /** The version that the answer names; empty for a service. */
  version: string;
  /** True when the system said that it moved the session. */
  moved: boolean;
  /** The text of the answer, or the body of a service's. */
  text: string;
}

/** One run of a request as the endpoint wrote it down. */
export interface RunRecord {
  kind: 'completion' | 'call';
  endpoint: string;
  requestId: string;
  attemptId: string;
  customer: string;
  /** The version as `model/version`; empty for a service. */
  version: string;
  /** The idempotency key, where the endpoint is told of it. */
  key: string;
  startedAtMs: number;
  finished: boolean;
  /** What a service answered. */
  answer: string;
}

/** The configuration that a daemon showed at a moment. */
export interface ConfigurationRecord {
  host: string;
  atMs: number;
  /** The declaration's version number; `null` without a lease. */
  version: number | null;
}
