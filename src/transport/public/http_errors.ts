/** Answers in JSON, errors included. */
import type {ServerResponse} from 'node:http';
import type {RequestError} from '../../protocol/completion.ts';

/** Sends `body` as JSON with `status`. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (response.headersSent) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/**
 * Sends an error with its outcome, reason and retry advice.
 *
 * @param requestId The id set on the response where this is empty.
 */
export function sendError(
  response: ServerResponse,
  requestId: string,
  error: RequestError,
): void {
  if (response.headersSent) return;
  const {retryAfterMs} = error;
  if (retryAfterMs !== undefined) {
    const seconds = Math.ceil(retryAfterMs / 1_000);
    response.setHeader('retry-after', String(seconds));
    response.setHeader('retry-after-ms', String(Math.ceil(retryAfterMs)));
  }
  response.setHeader('x-outcome', error.outcome);
  // OpenAI's clients repeat a request by themselves unless told not to.
  response.setHeader('x-should-retry', String(retryAfterMs !== undefined));
  const id = requestId || String(response.getHeader('x-request-id') ?? '');
  sendJson(response, error.status, describeError(id, error));
}

/** The body of an error, in the usual OpenAI form with our fields beside. */
export function describeError(requestId: string, error: RequestError) {
  return {
    error: {
      message: error.message,
      type: error.outcome,
      code: error.code,
      param: null,
      outcome: error.outcome,
      request_id: requestId,
      ...(error.retryAfterMs === undefined
        ? {}
        : {retry_after_ms: error.retryAfterMs}),
    },
  };
}
