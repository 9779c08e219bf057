/** Waits for a termination signal. */

/**
 * Resolves with the name of the signal. Without a listener a repeated signal
 * would end the process at once, with all open requests; the listeners stay, and
 * only a second SIGINT, as from a terminal, has this effect.
 */
export function waitForSignal(): Promise<string> {
  return new Promise(resolve => {
    process.on('SIGTERM', () => resolve('SIGTERM'));
    process.once('SIGINT', () => resolve('SIGINT'));
  });
}
