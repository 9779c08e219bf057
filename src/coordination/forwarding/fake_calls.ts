/** Requests for tests of forwarding. */
import {BodyDigest} from '../quarantine/request_identity.ts';
import type {Call, CallFacts} from './call.ts';

/** The facts of a request without any optional header. */
export const NO_FACTS: CallFacts = {
  attemptId: null,
  budgetMs: null,
  key: null,
  session: null,
  model: null,
  isModelOpen: false,
  promptTokens: 0,
  maxOutputTokens: 0,
  outputTokensHint: null,
  prompt: [],
  lastEventId: null,
};

export interface CreateCallOptions {
  readonly facts?: Partial<CallFacts>;
  /** Empty by default. */
  readonly body?: Buffer;
  /** Never aborts by default. */
  readonly signal?: AbortSignal;
  /** 0 by default. */
  readonly receivedAt?: number;
}

export function createCall(
  attemptId: string,
  {
    facts = {},
    body = Buffer.alloc(0),
    signal = new AbortController().signal,
    receivedAt = 0,
  }: CreateCallOptions,
): Call {
  return {
    method: 'POST',
    path: '/x',
    host: 'desk.example',
    headers: [],
    body,
    digestBody: () => new BodyDigest().compute(body),
    facts: {...NO_FACTS, attemptId, ...facts},
    receivedAt,
    signal,
  };
}
