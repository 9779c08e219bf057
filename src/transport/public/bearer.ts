/** Who sent a request: the bearer token of its `authorization` header. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {sendError} from './http_errors.ts';

/** Returns the bearer token, or an empty string. */
export function readBearer(request: IncomingMessage): string {
  const header = request.headers.authorization ?? '';
  return header.startsWith('Bearer ') ? header.slice('Bearer '.length) : '';
}

/** Answers a request whose key is not known. */
export function refuseUnauthorized(response: ServerResponse): void {
  sendError(response, '', {
    outcome: 'not-run',
    code: 'unauthorized',
    message: 'Could not accept the key',
    status: 401,
  });
}
