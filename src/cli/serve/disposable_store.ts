/** Owns resources and disposes of them in reverse order of registration. */
export class DisposableStore implements AsyncDisposable {
  private readonly owned: Array<AsyncDisposable | Disposable> = [];

  /** Takes ownership and returns the same object. */
  add<T extends AsyncDisposable | Disposable>(disposable: T): T {
    this.owned.push(disposable);
    return disposable;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const disposable of this.owned.splice(0).reverse()) {
      if (Symbol.asyncDispose in disposable) {
        await disposable[Symbol.asyncDispose]();
      } else {
        disposable[Symbol.dispose]();
      }
    }
  }
}
