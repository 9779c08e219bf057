/** Refusals: answers that the gateway itself generates. */
import type {CallerSink, Header} from './call.ts';

/** Why a request was not served. */
export type RefusalReason =
  | 'no-configuration'
  // The route or key is unknown, and the view may be outdated.
  | 'unconfirmed'
  | 'stopping'
  | 'no-route'
  | 'unknown-key'
  | 'bad-request'
  | 'too-large'
  | 'no-endpoint'
  // No endpoint in the home regions of its route and customer is usable.
  | 'no-home-endpoint'
  // This gateway reaches no endpoint, and another one relayed the request.
  | 'no-path'
  | 'no-room'
  // Endpoints requested a back-off that ends too late for this request.
  | 'quiet'
  // The limits that endpoints named, or bounds of cold ones, leave no room.
  | 'limited'
  // A part of its prompt crashes endpoints, or may do so.
  | 'quarantined'
  | 'suspected'
  | 'not-run'
  | 'deadline-not-run'
  | 'deadline'
  | 'broken';

/** Tells a gateway that relays the request to choose another one. */
export const ELSEWHERE_HEADER = 'X-Parsleypond-Elsewhere';

const STATUS: Readonly<Record<RefusalReason, number>> = {
  // 503 guarantees that the request did not and will not run.
  'no-configuration': 503,
  unconfirmed: 503,
  stopping: 503,
  'no-endpoint': 503,
  'no-home-endpoint': 503,
  'no-path': 503,
  'no-room': 503,
  quiet: 503,
  limited: 503,
  quarantined: 503,
  suspected: 503,
  'not-run': 503,
  'deadline-not-run': 503,
  'no-route': 404,
  'unknown-key': 401,
  'bad-request': 400,
  'too-large': 413,
  // 502 and 504 do not say whether it ran.
  deadline: 504,
  broken: 502,
};

export interface RefuseOptions {
  readonly reason: RefusalReason;
  /** When the caller should retry, in ms from now; none by default. */
  readonly retryAfterMs?: number;
}

/** Answers with a refusal and returns its status. */
export function refuseCall(
  sink: CallerSink,
  {reason, retryAfterMs}: RefuseOptions,
): number {
  const status = STATUS[reason];
  const headers: Header[] = [['Content-Type', 'application/json']];
  if (reason === 'no-path' || reason === 'stopping') {
    headers.push([ELSEWHERE_HEADER, '1']);
  }
  if (retryAfterMs !== undefined) {
    headers.push(['Retry-After', (retryAfterMs / 1_000).toFixed(3)]);
  }
  sink.answer(status, headers, Buffer.from(JSON.stringify({error: reason})));
  return status;
}
