/**
 * A client that does not take a reset for the end of an answer.
 *
 * An answer without a length ends with its connection. undici accepts a reset
 * as such an end; here the answer then counts as broken off.
 */
import type {Socket} from 'node:net';
import {Client, type buildConnector, type Dispatcher} from 'undici';

/** Creates a client for one connection of a pool. */
export function createStrictClient(origin: URL, options: object): Dispatcher {
  return new StrictClient(origin, options as StrictClientOptions);
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
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const getReset = () => this.connection.socket?.errored ?? null;
    return super.dispatch(options, checkEnd(handler, getReset));
  }
}

/** Reports the end of an answer as an error when the connection was reset. */
function checkEnd(
  handler: Dispatcher.DispatchHandler,
  getReset: () => Error | null,
): Dispatcher.DispatchHandler {
  return {
    onConnect: (...args) => handler.onConnect?.(...args),
    onResponseStarted: () => handler.onResponseStarted?.(),
    onHeaders: (...args) => handler.onHeaders?.(...args) ?? true,
    onData: chunk => handler.onData?.(chunk) ?? true,
    onBodySent: (...args) => handler.onBodySent?.(...args),
    onError: error => handler.onError?.(error),
    onComplete: trailers => {
      const reset = getReset();
      if (reset) handler.onError?.(reset);
      else handler.onComplete?.(trailers);
    },
  };
}
