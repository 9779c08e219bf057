/** Sends JSON answers and errors. */
import type {ServerResponse} from 'node:http';
import type {RequestError} from '../../protocol/completion.ts';

/** Sends `body` as JSON, unless the headers were sent already. */
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
 * Sends an error with its outcome, code and retry headers.
 *
 * @param requestId If empty, the id set on the response is used.
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
  // OpenAI's clients retry automatically unless this header says otherwise.
  response.setHeader('x-should-retry', String(retryAfterMs !== undefined));
  const id = requestId || String(response.getHeader('x-request-id') ?? '');
  sendJson(response, error.status, describeError(id, error));
}

/** Builds an error body in OpenAI's format, with additional fields. */
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
