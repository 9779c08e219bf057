/**
 * An undici client that detects truncated answers and limits framing bytes.
 *
 * An answer without a length ends with its connection. undici accepts a reset
 * as such an end, and an end while the request is still being written; this client
 * reports an error instead. undici accepts any status of three digits; this client
 * accepts those of HTTP. undici limits the size
 * of one header section, but neither the number of interim (1xx) answers nor
 * the bytes between the chunks of a body; this client limits both.
 */
import type {Socket} from 'node:net';
import {Client, type buildConnector, type Dispatcher} from 'undici';
import {FRAMING_HEADERS} from '../../coordination/forwarding/relay_events.ts';

/** Bytes of headers and framing allowed for any answer. */
const MAX_FRAMING_BYTES = 256 * 1024;

/** Interim answers allowed before any answer. */
const MAX_INTERIM_ANSWERS = 16;

/** The statuses of HTTP. */
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** Further framing bytes allowed per byte of the body. */
const MAX_FRAMING_FACTOR = 16;

/** Creates the client of one connection in a pool. */
export function createStrictClient(origin: URL, options: object): Dispatcher {
  return new StrictClient(origin, options as StrictClientOptions);
}

/** The endpoint may no longer receive the request; nothing was written. */
export class WithdrawnError extends Error {
  override readonly name = 'WithdrawnError';
}

/** The answer has a status that HTTP does not have. */
export class InvalidStatusError extends Error {
  override readonly name = 'InvalidStatusError';
}

/** Options of a request in addition to undici's own. */
interface RequestOptions extends Dispatcher.DispatchOptions {
  /** Whether the request may still be written; always true by default. */
  readonly mayBegin?: () => boolean;
}

interface StrictClientOptions extends Client.Options {
  readonly connect: buildConnector.connector;
}

/** A client's connection and the byte counts of its current answer. */
interface Connection {
  socket: Socket | null;
  /** Bytes read from the socket before the answer. */
  bytesBefore: number;
  /** Bytes of the answer's body read so far. */
  bodyBytes: number;
}

class StrictClient extends Client {
  private readonly connection: Connection;

  constructor(origin: URL, options: StrictClientOptions) {
    const connection: Connection = {
      socket: null,
      bytesBefore: 0,
      bodyBytes: 0,
    };
    super(origin, {
      ...options,
      connect: (target, callback) =>
        options.connect(target, (...result) => {
          const [, socket] = result;
          connection.socket = socket;
          connection.bytesBefore = 0;
          connection.bodyBytes = 0;
          // Registered before undici's own listener, which reads the data.
          socket?.on('readable', () => checkFraming(connection));
          callback(...result);
        }),
    });
    this.connection = connection;
  }

  override dispatch(
    options: RequestOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const {connection} = this;
    const checked = createResetCheck(handler, connection);
    const {mayBegin} = options;
    return super.dispatch(
      options,
      mayBegin ? createBeginCheck(checked, mayBegin) : checked,
    );
  }
}

/**
 * Returns an error if the connection was reset, or ended before the request was
 * written. libuv reports a reset that arrives together with the last bytes as an
 * ordinary end; such a socket no longer has a peer address, while one that the peer
 * closed still has.
 */
function findCut(socket: Socket | null): Error | null {
  if (!socket) return null;
  if (socket.errored) return socket.errored;
  // Node caches the address at its first use; nothing reads it earlier.
  if (socket.remoteAddress === undefined) {
    return new Error('Could not read the answer: its connection was reset');
  }
  // The peer resets a connection that it closes with bytes unread, and an end that
  // arrives before that reset does not show whether bytes of the answer are lost.
  return socket.writableLength > 0
    ? new Error('Could not read the answer: it ended before its request')
    : null;
}

/** Destroys a connection that receives too many bytes outside the body. */
function checkFraming(connection: Connection): void {
  const {socket, bytesBefore, bodyBytes} = connection;
  if (!socket) return;
  const framing = socket.bytesRead - bytesBefore - bodyBytes;
  if (framing <= MAX_FRAMING_BYTES + bodyBytes * MAX_FRAMING_FACTOR) return;
  socket.destroy(
    new Error(`Could not read the answer: ${framing} bytes are not its body`),
  );
}

/** Wraps a handler to abort a request that may no longer be written. */
function createBeginCheck(
  handler: Dispatcher.DispatchHandler,
  mayBegin: () => boolean,
): Dispatcher.DispatchHandler {
  return {
    ...handler,
    // undici calls this right before it writes; if it throws, nothing is sent.
    onConnect: (...args) => {
      handler.onConnect?.(...args);
      if (!mayBegin()) throw new WithdrawnError('Could not send: withdrawn');
    },
  };
}

/** Wraps a handler to report an error if a reset ended the answer. */
function createResetCheck(
  handler: Dispatcher.DispatchHandler,
  connection: Connection,
): Dispatcher.DispatchHandler {
  let hasFraming = true;
  let interimAnswers = 0;
  return {
    onConnect: (...args) => {
      connection.bytesBefore = connection.socket?.bytesRead ?? 0;
      connection.bodyBytes = 0;
      handler.onConnect?.(...args);
    },
    onResponseStarted: () => handler.onResponseStarted?.(),
    onHeaders: (status, headers, ...rest) => {
      if (status < MIN_STATUS || status > MAX_STATUS) {
        const reason = `Could not read the answer: its status is ${status}`;
        connection.socket?.destroy(new InvalidStatusError(reason));
        return false;
      }
      if (status < 200 && ++interimAnswers > MAX_INTERIM_ANSWERS) {
        connection.socket?.destroy(
          new Error('Could not read the answer: too many interim answers'),
        );
      }
      hasFraming = headers.some(
        (name, index) =>
          index % 2 === 0 && FRAMING_HEADERS.has(name.toString().toLowerCase()),
      );
      return handler.onHeaders?.(status, headers, ...rest) ?? true;
    },
    onData: chunk => {
      connection.bodyBytes += chunk.length;
      return handler.onData?.(chunk) ?? true;
    },
    onBodySent: (...args) => handler.onBodySent?.(...args),
    onError: error => handler.onError?.(error),
    onComplete: trailers => {
      const cut = hasFraming ? null : findCut(connection.socket);
      if (cut) handler.onError?.(cut);
      else handler.onComplete?.(trailers);
    },
  };
}
