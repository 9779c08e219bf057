/** Reads the options of a request from its headers. */
import type {IncomingMessage} from 'node:http';

/** Maximum length of a header value; longer ones are truncated. */
const MAX_NAME_CHARACTERS = 256;

/** Maximum deadline; longer ones are lowered to it. */
const MAX_DEADLINE_MS = 600_000;

export interface CallOptions {
  readonly key: string;
  readonly session?: string;
  readonly requestClass?: string;
  readonly deadlineMs?: number;
}

/** Reads the options; the idempotency key defaults to the request id. */
export function readCallOptions(
  request: IncomingMessage,
  requestId: string,
): CallOptions {
  const deadlineMs = Math.min(
    Number(readHeader(request, 'x-deadline-ms')),
    MAX_DEADLINE_MS,
  );
  return {
    key: readHeader(request, 'idempotency-key') ?? requestId,
    session: readHeader(request, 'x-session-id'),
    requestClass: readHeader(request, 'x-request-class'),
    deadlineMs: deadlineMs > 0 ? deadlineMs : undefined,
  };
}

function readHeader(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  if (typeof value !== 'string' || value === '') return undefined;
  return value.slice(0, MAX_NAME_CHARACTERS);
}
