/**
 * A client that does not take a reset for the end of an answer, and reads no
 * bytes without end that are none.
 *
 * An answer without a length ends with its connection. undici accepts a reset
 * as such an end; here the answer then counts as broken off. undici bounds one
 * head, but not how many interim answers come before it, nor what stands
 * between the pieces of a body; here both are bounded.
 */
import type {Socket} from 'node:net';
import {Client, type buildConnector, type Dispatcher} from 'undici';
import {FRAMING_HEADERS} from '../../coordination/forwarding/relay_events.ts';

/** What heads and framing of one answer may take up, in bytes. */
const MAX_FRAMING_BYTES = 256 * 1024;

/** What the framing may take up beside, as a multiple of the body. */
const MAX_FRAMING_FACTOR = 16;

/** Creates a client for one connection of a pool. */
export function createStrictClient(origin: URL, options: object): Dispatcher {
  return new StrictClient(origin, options as StrictClientOptions);
}

/** The endpoint may not receive the request any more; nothing was written. */
export class WithdrawnError extends Error {
  override readonly name = 'WithdrawnError';
}

/** What a request says beside undici's own options. */
interface RequestOptions extends Dispatcher.DispatchOptions {
  /** Whether it may still be written; by default it may. */
  readonly mayBegin?: () => boolean;
}

interface StrictClientOptions extends Client.Options {
  readonly connect: buildConnector.connector;
}

/** The connection of a client, and what the open answer took of it. */
interface Connection {
  socket: Socket | null;
  /** The bytes that were read before the answer. */
  bytesBefore: number;
  /** The bytes of its body so far. */
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
          // undici's own listener, which reads, comes after this one.
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
 * Finds out whether a connection was reset. A reset that comes together with
 * the last bytes is reported as an ordinary end by libuv; such a connection has
 * no peer any more, while one that the other side closed still has.
 */
function findReset(socket: Socket | null): Error | null {
  if (!socket) return null;
  if (socket.errored) return socket.errored;
  // The address is looked up at its first use only, which is here.
  return socket.remoteAddress === undefined
    ? new Error('Could not read the answer: its connection was reset')
    : null;
}

/** Breaks a connection off on which too much comes that is no body. */
function checkFraming(connection: Connection): void {
  const {socket, bytesBefore, bodyBytes} = connection;
  if (!socket) return;
  const framing = socket.bytesRead - bytesBefore - bodyBytes;
  if (framing <= MAX_FRAMING_BYTES + bodyBytes * MAX_FRAMING_FACTOR) return;
  socket.destroy(
    new Error(`Could not read the answer: ${framing} bytes are not its body`),
  );
}

/** Ends a request before its first byte when it may not begin any more. */
function createBeginCheck(
  handler: Dispatcher.DispatchHandler,
  mayBegin: () => boolean,
): Dispatcher.DispatchHandler {
  return {
    ...handler,
    // undici calls it right before it writes, and writes nothing if it throws.
    onConnect: (...args) => {
      handler.onConnect?.(...args);
      if (!mayBegin()) throw new WithdrawnError('Could not send: withdrawn');
    },
  };
}

/** Reports the end of an answer as an error when the connection was reset. */
function createResetCheck(
  handler: Dispatcher.DispatchHandler,
  connection: Connection,
): Dispatcher.DispatchHandler {
  let hasFraming = true;
  return {
    onConnect: (...args) => {
      connection.bytesBefore = connection.socket?.bytesRead ?? 0;
      connection.bodyBytes = 0;
      handler.onConnect?.(...args);
    },
    onResponseStarted: () => handler.onResponseStarted?.(),
    onHeaders: (status, headers, ...rest) => {
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
      const reset = hasFraming ? null : findReset(connection.socket);
      if (reset) handler.onError?.(reset);
      else handler.onComplete?.(trailers);
    },
  };
}
