/** Refuses requests whose heads were not parsed. */
import type {Socket} from 'node:net';

/** Why a head is refused; the request has not run. */
export type HeadRefusal = 'too-large' | 'no-memory';

/** Writes a refusal and ends the connection. */
export type RefuseHead = (socket: Socket, cause: HeadRefusal) => void;

const STATUS_LINES: Readonly<Record<HeadRefusal, string>> = {
  'too-large': '431 Request Header Fields Too Large',
  'no-memory': '503 Service Unavailable\r\nRetry-After: 1',
};

/** Refuses with a status alone. */
export function refuseHead(socket: Socket, cause: HeadRefusal): void {
  socket.end(
    `HTTP/1.1 ${STATUS_LINES[cause]}\r\n` +
      'Connection: close\r\nContent-Length: 0\r\n\r\n',
  );
}
