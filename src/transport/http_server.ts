/** Starts and stops the HTTP servers of a daemon. */
import type {Server} from 'node:http';
import type {ListenOptions} from 'node:net';

/** Starts listening; rejects if the address cannot be bound. */
export function startListening(
  server: Server,
  options: ListenOptions,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options, resolve);
  });
}

export interface CloseServerOptions {
  /**
   * Bounds the wait for open requests: when it resolves, the connections that
   * are still open are closed. By default they are closed at once.
   */
  readonly waitForRequests?: () => Promise<void>;
}

/**
 * Stops listening and closes every connection. Without the latter, a
 * connection that never sent a request would keep the server open forever.
 */
export async function closeServer(
  server: Server,
  {waitForRequests}: CloseServerOptions = {},
): Promise<void> {
  const closed = new Promise<void>(resolve => server.close(() => resolve()));
  if (waitForRequests) await Promise.race([closed, waitForRequests()]);
  server.closeAllConnections();
  await closed;
}
