/**
 * Keeps an uncaught error from ending a gateway with all its open requests.
 *
 * An uncaught error usually belongs to one event of one request. A gateway has
 * no state on disk to corrupt, so the error is logged and the other requests
 * continue. Many errors within a short time indicate a broken invariant: the
 * gateway then exits and is restarted. Daemons with a disk are not guarded.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';

/** The number of errors within the window at which a gateway exits. */
const MAX_ERRORS = 20;

/** The sliding window in which errors are counted. */
const WINDOW_MS = 10_000;

/** Emits uncaught errors and rejections; in production `process`. */
export interface ErrorSource {
  on(event: 'uncaughtException', listener: (error: Error) => void): unknown;
  off(event: 'uncaughtException', listener: (error: Error) => void): unknown;
}

export interface GuardGatewayOptions {
  readonly source: ErrorSource;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when there are too many errors; ends the process. */
  readonly abort: () => void;
}

/** Guards a gateway until the result is disposed of. */
export function guardGateway({
  source,
  clock,
  logger,
  abort,
}: GuardGatewayOptions): Disposable {
  let errorTimes: number[] = [];
  const handle = (error: unknown) => {
    const now = clock.monotonic();
    errorTimes = [...errorTimes.filter(at => at > now - WINDOW_MS), now];
    const isError = error instanceof Error;
    logger.error('Continues after an uncaught error.', {
      reason: isError ? error.message : String(error),
      stack: isError ? error.stack : undefined,
      errors: errorTimes.length,
    });
    if (errorTimes.length < MAX_ERRORS) return;
    logger.error('Exits: too many uncaught errors.', {
      errors: errorTimes.length,
      windowMs: WINDOW_MS,
    });
    abort();
  };
  source.on('uncaughtException', handle);
  return {
    [Symbol.dispose]: () => void source.off('uncaughtException', handle),
  };
}
