/** Tells the open requests of a gateway when they can no longer be waited for. */
export class Shutdown {
  private readonly handlers = new Set<() => void>();
  private hasAborted = false;

  /** Whether open requests must end now. */
  get isAborted(): boolean {
    return this.hasAborted;
  }

  /** Calls all handlers. */
  abort(): void {
    this.hasAborted = true;
    for (const handler of [...this.handlers]) handler();
  }

  /** Calls a handler at `abort()`, until the result is disposed of. */
  handleAbort(handler: () => void): Disposable {
    this.handlers.add(handler);
    return {[Symbol.dispose]: () => void this.handlers.delete(handler)};
  }
}
