/** How every HTTP server of a daemon starts and stops. */
import type {Server} from 'node:http';
import type {ListenOptions} from 'node:net';

/** Starts to listen; rejects when the address cannot be used. */
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
   * Waits, at the most, before connections with an open request are closed; by
   * default none is waited for.
   */
  readonly waitForRequests?: () => Promise<void>;
}

/**
 * Stops listening and closes every connection. One that never sent a request
 * would otherwise be waited for without end.
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
