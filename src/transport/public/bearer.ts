/** Reads bearer tokens and refuses requests without a valid one. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {sendError} from './http_errors.ts';

/** Returns the token of the `authorization` header, or an empty string. */
export function readBearer(request: IncomingMessage): string {
  const header = request.headers.authorization ?? '';
  return header.startsWith('Bearer ') ? header.slice('Bearer '.length) : '';
}

/** Answers 401 to a request whose key or secret is not valid. */
export function refuseUnauthorized(response: ServerResponse): void {
  sendError(response, '', {
    outcome: 'not-run',
    code: 'unauthorized',
    message: 'Could not accept the key',
    status: 401,
  });
}
