/** The state machine interface of replicated logs. */

/** Deterministic: the same commands in the same order give the same state. */
export interface StateMachine<C, R> {
  /**
   * Applies one committed command.
   *
   * @param index The position in the log; increases with every call.
   */
  apply(command: C, index: number): R;
  /** Returns a serializable copy of the state. */
  createSnapshot(): unknown;
  /** Replaces the state by a snapshot. */
  restoreSnapshot(snapshot: unknown): void;
}
