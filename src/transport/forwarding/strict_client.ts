/**
 * A client that does not take a reset for the end of an answer.
 *
 * An answer without a length ends with its connection. undici accepts a reset
 * as such an end; here the answer then counts as broken off.
 */
import type {Socket} from 'node:net';
import {Client, type buildConnector, type Dispatcher} from 'undici';
import {FRAMING_HEADERS} from '../../coordination/forwarding/relay_events.ts';

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

class StrictClient extends Client {
  private readonly connection: {socket: Socket | null};

  constructor(origin: URL, options: StrictClientOptions) {
    const connection: {socket: Socket | null} = {socket: null};
    super(origin, {
      ...options,
      connect: (target, callback) =>
        options.connect(target, (...result) => {
          connection.socket = result[1];
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
    const checked = checkEnd(handler, () => findReset(connection.socket));
    const {mayBegin} = options;
    return super.dispatch(
      options,
      mayBegin ? checkBegin(checked, mayBegin) : checked,
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

/** Ends a request before its first byte when it may not begin any more. */
function checkBegin(
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
function checkEnd(
  handler: Dispatcher.DispatchHandler,
  getReset: () => Error | null,
): Dispatcher.DispatchHandler {
  let isFramed = true;
  return {
    onConnect: (...args) => handler.onConnect?.(...args),
    onResponseStarted: () => handler.onResponseStarted?.(),
    onHeaders: (status, headers, ...rest) => {
      isFramed = headers.some(
        (name, index) =>
          index % 2 === 0 && FRAMING_HEADERS.has(name.toString().toLowerCase()),
      );
      return handler.onHeaders?.(status, headers, ...rest) ?? true;
    },
    onData: chunk => handler.onData?.(chunk) ?? true,
    onBodySent: (...args) => handler.onBodySent?.(...args),
    onError: error => handler.onError?.(error),
    onComplete: trailers => {
      const reset = isFramed ? null : getReset();
      if (reset) handler.onError?.(reset);
      else handler.onComplete?.(trailers);
    },
  };
}
