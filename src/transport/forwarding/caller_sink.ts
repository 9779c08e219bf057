/** Writes the answer to one caller. */
import type {ServerResponse} from 'node:http';
import type {CallerSink, Header} from '../../coordination/forwarding/call.ts';
import {findGuarded} from '../memory/guarded_request.ts';

/** Status codes whose answers have no body. */
const STATUSES_WITHOUT_BODY = new Set([204, 304]);

/** Creates a sink that writes to `response`. */
export function createCallerSink(response: ServerResponse): CallerSink {
  let hasBegun = false;
  return {
    get hasBegun() {
      return hasBegun;
    },
    answer(status, headers, body) {
      hasBegun = true;
      if (response.destroyed) return;
      if (findGuarded(response.req)?.holdAnswer(body.length) === false) {
        response.destroy();
        return;
      }
      response.writeHead(
        status,
        addContentLength(response, {status, headers, body}),
      );
      response.end(body);
    },
    begin(status, headers) {
      hasBegun = true;
      if (response.destroyed) return;
      response.writeHead(status, headers.flat());
    },
    async write(bytes) {
      if (response.destroyed || response.write(bytes)) return;
      await waitForDrain(response);
    },
    end() {
      response.end();
    },
    abort() {
      hasBegun = true;
      response.destroy();
    },
  };
}

/** Adds `Content-Length` if it is missing and the answer has a body. */
function addContentLength(
  response: ServerResponse,
  answer: {status: number; headers: readonly Header[]; body: Uint8Array},
): string[] {
  const {status, headers, body} = answer;
  const hasLength = headers.some(
    ([name]) => name.toLowerCase() === 'content-length',
  );
  const hasNoBody =
    STATUSES_WITHOUT_BODY.has(status) || response.req.method === 'HEAD';
  if (hasLength || hasNoBody) return headers.flat();
  return [...headers.flat(), 'Content-Length', String(body.length)];
}

/** Resolves once the buffer has drained or the caller disconnected. */
function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      response.off('drain', finish);
      response.off('close', finish);
      resolve();
    };
    response.on('drain', finish);
    response.on('close', finish);
  });
}
