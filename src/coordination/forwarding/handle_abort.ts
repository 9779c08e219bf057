/** Calls a handler when a signal aborts, until the result is disposed of. */
export function handleAbort(
  signal: AbortSignal,
  handler: () => void,
): Disposable {
  signal.addEventListener('abort', handler);
  return {
    [Symbol.dispose]: () => signal.removeEventListener('abort', handler),
  };
}
