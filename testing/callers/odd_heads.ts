/**
 * Sends requests whose heads or framing cost a server more than their bytes: many
 * header lines, heads and empty lines without end, trailers, chunk extensions.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Sending} from './rough_callers.ts';

/** The header lines of one request; within the usual limit of 16 KiB. */
const SECTION_BYTES = 12_000;

/** The names of properties that every object has. */
const OBJECT_NAMES = ['__proto__', 'constructor', 'toString', 'hasOwnProperty'];

/** Creates the line with an index, without its end. */
type CreateLine = (index: number) => string;

/** Kinds of header lines, by name. */
export const LINES = {
  distinct: index => `${index.toString(36)}:v`,
  empty: index => `${index.toString(36)}:`,
  repeated: () => 'a:1',
  objectNames: index => `${OBJECT_NAMES[index % OBJECT_NAMES.length]}:v`,
  joined: index => (index % 2 === 0 ? 'cookie:a=1' : 'accept:a/b'),
  folded: index => `${index.toString(36)}:v\r\n w`,
} as const satisfies Record<string, CreateLine>;

export type LineKind = keyof typeof LINES;

export const LINE_KINDS = Object.keys(LINES) as LineKind[];

const HOST_LINE = 'Host: desk.example\r\n';

/** Creates header lines of one kind, with their ends. */
function createLines(kind: LineKind, bytes: number): string {
  const lines: string[] = [];
  for (let length = 0; length < bytes;) {
    const line = `${LINES[kind](lines.length)}\r\n`;
    lines.push(line);
    length += line.length;
  }
  return lines.join('');
}

/** Sends `count` requests without a body ahead of their answers. */
export function sendManyLines(kind: LineKind, count: number): Sending {
  const lines = createLines(kind, SECTION_BYTES);
  return async (send, path) => {
    const head = `GET ${path} HTTP/1.1\r\n${HOST_LINE}${lines}\r\n`;
    for (let sent = 0; sent < count; sent++) {
      if (!(await send(head))) return;
    }
  };
}

/** Sends a head with many lines and a body that never ends. */
export function sendManyLinesAndOpenBody(kind: LineKind): Sending {
  const lines = createLines(kind, SECTION_BYTES);
  return async (send, path) => {
    await send(createChunkedHead(path, lines));
    await send('1\r\nx\r\n');
  };
}

/** Sends a body in chunks, and then trailers of `bytes`. */
export function sendTrailers(kind: LineKind, bytes: number): Sending {
  const lines = createLines(kind, SECTION_BYTES);
  return async (send, path) => {
    if (!(await send(`${createChunkedHead(path)}1\r\nx\r\n0\r\n`))) return;
    for (let sent = 0; sent < bytes; sent += lines.length) {
      if (!(await send(lines))) return;
    }
  };
}

/** Sends `count` chunks of one byte, each with an extension of `bytes`. */
export function sendChunkExtensions(count: number, bytes: number): Sending {
  const chunk = `1;a=${'b'.repeat(bytes)}\r\nx\r\n`;
  return async (send, path) => {
    if (!(await send(createChunkedHead(path)))) return;
    for (let sent = 0; sent < count; sent++) {
      if (!(await send(chunk))) return;
    }
  };
}

/** Where a head has no end. */
export type EndlessPart = 'target' | 'name' | 'value' | 'lines';

export const ENDLESS_PARTS: readonly EndlessPart[] = [
  'target',
  'name',
  'value',
  'lines',
];

/** Sends a head of `bytes` without an end. */
export function sendEndlessHead(part: EndlessPart, bytes: number): Sending {
  const start: Record<EndlessPart, string> = {
    target: '',
    name: ` HTTP/1.1\r\n${HOST_LINE}a`,
    value: ` HTTP/1.1\r\n${HOST_LINE}a: `,
    lines: ` HTTP/1.1\r\n${HOST_LINE}`,
  };
  const piece =
    part === 'lines'
      ? createLines('distinct', SECTION_BYTES)
      : 'x'.repeat(SECTION_BYTES);
  return async (send, path) => {
    if (!(await send(`GET ${path}${start[part]}`))) return;
    for (let sent = 0; sent < bytes; sent += piece.length) {
      if (!(await send(piece))) return;
    }
  };
}

/** Sends `bytes` of empty lines, at first or after a whole request. */
export function sendEmptyLines(
  bytes: number,
  {afterRequest = false}: {readonly afterRequest?: boolean} = {},
): Sending {
  const piece = '\r\n'.repeat(SECTION_BYTES / 2);
  return async (send, path) => {
    const request = `GET ${path} HTTP/1.1\r\n${HOST_LINE}\r\n`;
    if (afterRequest && !(await send(request))) return;
    for (let sent = 0; sent < bytes; sent += piece.length) {
      if (!(await send(piece))) return;
    }
  };
}

/** Sends the first bytes of a request, and then a few more at an interval. */
export function sendSlowly(
  text: string,
  {pauseMs, count}: {readonly pauseMs: number; readonly count: number},
): Sending {
  return async (send, path) => {
    if (!(await send(`GET ${path} HTTP/1.1\r\n${HOST_LINE}`))) return;
    for (let sent = 0; sent < count; sent++) {
      await sleep(pauseMs);
      if (!(await send(text))) return;
    }
  };
}

/** Sends a body that the caller asks leave to send, whatever the answer. */
export function sendExpectingLeave(bytes: number): Sending {
  const piece = 'x'.repeat(SECTION_BYTES);
  return async (send, path) => {
    const lines = `Content-Length: ${bytes}\r\nExpect: 100-continue\r\n`;
    const head = `POST ${path} HTTP/1.1\r\n${HOST_LINE}${lines}\r\n`;
    if (!(await send(head))) return;
    for (let sent = 0; sent < bytes; sent += piece.length) {
      if (!(await send(piece))) return;
    }
  };
}

function createChunkedHead(path: string, lines = ''): string {
  const chunked = 'Transfer-Encoding: chunked\r\n';
  return `POST ${path} HTTP/1.1\r\n${HOST_LINE}${chunked}${lines}\r\n`;
}
