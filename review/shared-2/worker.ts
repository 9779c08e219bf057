/** A stand-in for a worker that announces itself, and a requester's call. */
import {once} from 'node:events';
import {
  createServer,
  request,
  type Agent,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Heartbeats, type Site} from './site.ts';

/** The idle time after which it closes a connection. */
const KEEP_ALIVE_MS = 15_000;

export interface Exchange {
  readonly call: IncomingMessage;
  readonly response: ServerResponse;
}

export interface WorkerOptions {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  /** Called once a request has been read whole. */
  readonly serve: (exchange: Exchange) => void;
}

/** Starts a worker; resolves once it is announced. */
export async function startWorker(
  site: Site,
  {id, service, slots, serve}: WorkerOptions,
): Promise<void> {
  const server = createServer((call, response) => {
    call.resume();
    call.once('end', () => serve({call, response}));
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  await new Heartbeats(site, {id, service, address, slots}).start();
}

/** What a requester gets. */
export interface Answer {
  /** 0 without an answer. */
  readonly status: number;
  /** The worker's stamp; empty without one. */
  readonly stamp: string;
  readonly body: string;
  /** Whether it looks complete by its framing. */
  readonly isComplete: boolean;
}

export interface SendOptions {
  readonly agent: Agent;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly attempt: string;
  readonly deadlineMs: number;
}

/** Sends one request to a gateway. */
export function sendRequest(
  front: string,
  {agent, method, path, host, attempt, deadlineMs}: SendOptions,
): Promise<Answer> {
  const [hostname = '', port = ''] = front.split(':');
  return new Promise(resolve => {
    const sent = request(
      {
        hostname,
        port,
        agent,
        method,
        path,
        headers: {
          host,
          'x-attempt-id': attempt,
          'x-deadline-ms': String(deadlineMs),
        },
      },
      response => {
        const pieces: Buffer[] = [];
        response.on('data', piece => pieces.push(piece as Buffer));
        response.on('error', () => {});
        response.on('close', () =>
          resolve({
            status: response.statusCode ?? 0,
            stamp: String(response.headers['x-response-stamp'] ?? ''),
            body: Buffer.concat(pieces).toString(),
            isComplete: response.complete,
          }),
        );
      },
    );
    sent.on('error', () =>
      resolve({status: 0, stamp: '', body: '', isComplete: false}),
    );
    sent.end();
  });
}
