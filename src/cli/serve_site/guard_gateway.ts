/**
 * Keeps an unexpected error from ending a gateway, and all its requests with it.
 *
 * An error that nobody caught belongs to one event of one request. A gateway has
 * no state on disk that it could spoil, so it is logged and the others go on. Many
 * of them within a short time mean that an invariant is broken: then the gateway
 * gives up, and is started anew. Daemons with a disk are not guarded.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';

/** The errors within the window at which a gateway gives up. */
const MAX_ERRORS = 20;

/** The length of that window, in ms. */
const WINDOW_MS = 10_000;

/** Where uncaught errors and rejections are reported; a Node.js process. */
export interface ErrorSource {
  on(event: 'uncaughtException', listener: (error: Error) => void): unknown;
  off(event: 'uncaughtException', listener: (error: Error) => void): unknown;
}

export interface GuardGatewayOptions {
  readonly source: ErrorSource;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Runs once there are too many errors. */
  readonly giveUp: () => void;
}

/** Guards a gateway until the result is disposed. */
export function guardGateway({
  source,
  clock,
  logger,
  giveUp,
}: GuardGatewayOptions): Disposable {
  let seenAt: number[] = [];
  const handle = (error: unknown) => {
    const now = clock.monotonic();
    seenAt = [...seenAt.filter(at => at > now - WINDOW_MS), now];
    const isError = error instanceof Error;
    logger.error('Goes on after an unexpected error.', {
      reason: isError ? error.message : String(error),
      stack: isError ? error.stack : undefined,
      errors: seenAt.length,
    });
    if (seenAt.length < MAX_ERRORS) return;
    logger.error('Gives up after many unexpected errors.', {
      errors: seenAt.length,
      windowMs: WINDOW_MS,
    });
    giveUp();
  };
  source.on('uncaughtException', handle);
  return {
    [Symbol.dispose]: () => void source.off('uncaughtException', handle),
  };
}
