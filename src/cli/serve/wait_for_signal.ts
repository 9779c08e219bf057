/** Waits for a termination signal. */

/** Resolves with the name of the signal. */
export function waitForSignal(): Promise<string> {
  return new Promise(resolve => {
    process.once('SIGTERM', () => resolve('SIGTERM'));
    process.once('SIGINT', () => resolve('SIGINT'));
  });
}
