/**
 * Runs costly tasks one at a time, each in a turn of the event loop of its own, so
 * that everything else gets its turn between two of them.
 */
export interface TurnQueueOptions {
  /** Calls a function in a later turn of the event loop. */
  readonly schedule: (run: () => void) => void;
}

export class TurnQueue {
  private readonly tasks: Array<() => void> = [];
  private isScheduled = false;

  constructor(private readonly options: TurnQueueOptions) {}

  /** The number of tasks that wait. */
  get length(): number {
    return this.tasks.length;
  }

  /** Runs `task` once those before it have run. */
  enqueue(task: () => void): void {
    this.tasks.push(task);
    this.scheduleNext();
  }

  private scheduleNext(): void {
    if (this.isScheduled || this.tasks.length === 0) return;
    this.isScheduled = true;
    this.options.schedule(() => {
      this.isScheduled = false;
      const task = this.tasks.shift();
      // A task that throws must not hold up those after it.
      this.scheduleNext();
      task?.();
    });
  }
}
