/** The errors returned to callers, with their outcome and retry delay. */
import type {RequestError} from '../../protocol/completion.ts';
import type {LedgerResult} from '../../protocol/ledger.ts';
import type {Refusal} from '../limits/permit.ts';
import type {RejectedVersion} from '../routing/completion_plan.ts';

/** The default retry delay advised to callers. */
const RETRY_AFTER_MS = 1_000;

/** The error of a gateway that lost its lease: its configuration may be old. */
export const leaseExpiredError: RequestError = {
  outcome: 'not-run',
  code: 'configuration-unknown',
  message: 'Could not take the request: this gateway lost its lease',
  status: 503,
  retryAfterMs: RETRY_AFTER_MS,
};

/** The error when the ledger does not confirm an admission. */
export const ledgerUnavailableError: RequestError = {
  outcome: 'not-run',
  code: 'ledger-unavailable',
  message: 'Could not admit the request: the ledger did not answer',
  status: 503,
  retryAfterMs: RETRY_AFTER_MS,
};

/** The error when the ledger does not confirm the bill of an answer. */
export const billUnconfirmedError: RequestError = {
  outcome: 'unknown',
  code: 'bill-unconfirmed',
  message: 'Could not confirm the bill: the ledger did not answer',
  status: 503,
  retryAfterMs: RETRY_AFTER_MS,
};

/** Returns the error for a refusal by a limiter. */
export function describeRefusal(refusal: Refusal): RequestError {
  return {
    outcome: 'not-run',
    code: refusal.reason,
    message: `Could not take the request: ${refusal.message}`,
    status: refusal.reason === 'customer-limit' ? 429 : 503,
    retryAfterMs: refusal.retryAfterMs,
  };
}

/** Returns the error when no version may run the request. */
export function describeNoVersion(
  rejected: readonly RejectedVersion[],
): RequestError {
  const reasons = rejected.map(each => `${each.version}: ${each.reason}`);
  const isTransient = rejected.some(each => each.reason === 'no endpoint');
  const detail = reasons.length === 0 ? 'no such model' : reasons.join(', ');
  return {
    outcome: 'not-run',
    code: isTransient ? 'pool-unavailable' : 'no-version',
    message: `Could not choose a version: ${detail}`,
    status: isTransient ? 503 : reasons.length === 0 ? 404 : 403,
    ...(isTransient ? {retryAfterMs: RETRY_AFTER_MS} : {}),
  };
}

/** Returns the error for a request whose key was used before. */
export function describeDuplicate(result: LedgerResult): RequestError {
  switch (result.type) {
    case 'mismatch':
      return {
        outcome: 'not-run',
        code: 'key-reused',
        message: 'Could not take the request: its key was used for another',
        status: 422,
      };
    case 'open':
      return {
        outcome: 'unknown',
        code: 'key-open',
        message: 'Could not take the request: one with its key is running',
        status: 409,
        retryAfterMs: RETRY_AFTER_MS,
      };
    default:
      return {
        outcome: 'unknown',
        code: 'answer-lost',
        message: 'Could not tell whether the earlier request ran',
        status: 409,
      };
  }
}

export interface UnansweredOptions {
  /** Whether an endpoint may have run the request. */
  readonly sent: boolean;
  readonly reason: string;
  readonly deadlinePassed: boolean;
  /** Whether the same request may be sent again after `unknown`. */
  readonly repeatable: boolean;
}

/** Returns the error when all attempts failed. */
export function describeUnanswered(options: UnansweredOptions): RequestError {
  const {sent, reason, deadlinePassed, repeatable} = options;
  const code = sent ? 'answer-lost' : 'pool-unavailable';
  return {
    outcome: sent ? 'unknown' : 'not-run',
    code: deadlinePassed ? 'deadline' : code,
    message: `Could not answer the request: ${reason}`,
    status: deadlinePassed ? 504 : sent ? 502 : 503,
    ...(repeatable || !sent ? {retryAfterMs: RETRY_AFTER_MS} : {}),
  };
}
