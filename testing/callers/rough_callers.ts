/** Opens connections whose requests a server should not have to bear. */
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

const LARGE_CHUNK_BYTES = 64 * 1024;

/** How many one-byte chunks or pipelined requests are written at once. */
const BATCH = 1_000;

/** What one connection sends. */
export type Sending = (send: SendBytes, path: string) => Promise<void>;

/** Writes bytes; resolves to false once the connection is closed. */
type SendBytes = (bytes: string | Buffer) => Promise<boolean>;

function createHead(path: string, line: string): string {
  return `POST ${path} HTTP/1.1\r\nHost: desk.example\r\n${line}\r\n\r\n`;
}

const CHUNKED = 'Transfer-Encoding: chunked';

function createChunk(bytes: number): Buffer {
  return Buffer.from(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`);
}

/** Sends `bytes` in large chunks, and never the last chunk. */
export function sendLargeChunks(bytes: number): Sending {
  const chunk = createChunk(LARGE_CHUNK_BYTES);
  return async (send, path) => {
    await send(createHead(path, CHUNKED));
    for (let left = bytes; left > 0; left -= LARGE_CHUNK_BYTES) {
      if (!(await send(left < LARGE_CHUNK_BYTES ? createChunk(left) : chunk))) {
        return;
      }
    }
  };
}

/** Sends `count` chunks of one byte, and never the last chunk. */
export function sendSmallChunks(count: number): Sending {
  const chunks = Buffer.from('1\r\nx\r\n'.repeat(BATCH));
  return async (send, path) => {
    await send(createHead(path, CHUNKED));
    for (let sent = 0; sent < count; sent += BATCH) {
      if (!(await send(chunks))) return;
    }
  };
}

/** Announces a body of `announced` bytes, and sends `bytes` of it. */
export function sendAnnounced(announced: number, bytes: number): Sending {
  const piece = Buffer.alloc(LARGE_CHUNK_BYTES, 'x');
  return async (send, path) => {
    await send(createHead(path, `Content-Length: ${announced}`));
    for (let sent = 0; sent < bytes; sent += piece.length) {
      if (!(await send(piece))) return;
    }
  };
}

/** Sends `count` requests without reading an answer. */
export function sendPipelined(count: number): Sending {
  return async (send, path) => {
    const request = `GET ${path} HTTP/1.1\r\nHost: desk.example\r\n\r\n`;
    const requests = Buffer.from(request.repeat(BATCH));
    for (let sent = 0; sent < count; sent += BATCH) {
      if (!(await send(requests))) return;
    }
  };
}

/** Sends a request line and a part of the headers. */
export const sendHalfHead: Sending = async (send, path) => {
  await send(`POST ${path} HTTP/1.1\r\nHost: desk`);
};

/** A number of connections to one address that send the same. */
export interface Crowd {
  readonly address: string;
  readonly path: string;
  readonly connections: number;
  readonly send: Sending;
  /** How often each connection is closed and opened again; never by default. */
  readonly reopenings?: number;
}

export interface OpenCrowd extends Disposable {
  /** The connections that are open. */
  readonly openCount: number;
  /** Reads answers, and so notices that connections are closed. */
  readAnswers(): void;
}

export interface OpenCrowdOptions {
  /** What has not been sent after this time is left unsent, in ms. */
  readonly withinMs: number;
}

/** Resolves once all that the crowds could send is sent, or after `withinMs`. */
export async function openCrowds(
  crowds: readonly Crowd[],
  {withinMs}: OpenCrowdOptions,
): Promise<OpenCrowd> {
  const sockets: Socket[] = [];
  let isDisposed = false;
  const open = async ({address, path, send, reopenings = 0}: Crowd) => {
    for (let round = 0; round <= reopenings && !isDisposed; round++) {
      const [host = '', port] = address.split(':');
      const socket = connect(Number(port), host);
      // Not reading fills the buffers between the two ends with answers.
      socket.pause();
      socket.on('error', () => {});
      sockets.push(socket);
      await send(bytes => writeBytes(socket, bytes), path);
      if (round < reopenings) socket.destroy();
    }
  };
  const sendings = crowds.flatMap(crowd =>
    Array.from({length: crowd.connections}, () => open(crowd)),
  );
  // A timer that is left would keep the test open after its end.
  const sent = new AbortController();
  const {signal} = sent;
  const late = sleep(withinMs, undefined, {signal}).catch(() => {});
  await Promise.race([Promise.all(sendings), late]);
  sent.abort();
  return {
    get openCount() {
      return sockets.filter(({destroyed}) => !destroyed).length;
    },
    readAnswers() {
      for (const socket of sockets) socket.resume();
    },
    [Symbol.dispose]() {
      isDisposed = true;
      for (const socket of sockets) socket.destroy();
    },
  };
}

function writeBytes(socket: Socket, bytes: string | Buffer): Promise<boolean> {
  if (socket.destroyed) return Promise.resolve(false);
  return new Promise(resolve => {
    const finish = () => {
      socket.off('close', finish);
      resolve(!socket.destroyed);
    };
    socket.once('close', finish);
    socket.write(bytes, finish);
  });
}
