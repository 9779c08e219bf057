/** A discrete-event clock: time advances only when all tasks are waiting. */
import type {Clock} from '../../src/protocol/clock.ts';

interface Timer {
  readonly dueAt: number;
  readonly sequence: number;
  fire(): void;
}

/** Resumes sleeping tasks in the order of their due time. */
export class VirtualClock implements Clock {
  private time = 0;
  private sequence = 0;
  private readonly heap: Timer[] = [];

  now(): number {
    return this.time;
  }

  monotonic(): number {
    return this.time;
  }

  sleep(ms: number): Promise<void> {
    return new Promise(resolve => {
      const dueAt = this.time + Math.max(0, ms);
      this.push({dueAt, sequence: this.sequence++, fire: resolve});
    });
  }

  /** Advances time to `endMs` and resumes each task that is due by then. */
  async run(endMs: number): Promise<void> {
    await drainReadyTasks();
    for (;;) {
      const next = this.heap[0];
      if (!next || next.dueAt > endMs) break;
      this.time = next.dueAt;
      while (this.heap[0] && this.heap[0].dueAt <= this.time) this.pop().fire();
      await drainReadyTasks();
    }
    this.time = endMs;
  }

  /** Advances time without resuming tasks, for measurements without any. */
  advance(ms: number): void {
    this.time += ms;
  }

  private push(timer: Timer): void {
    const {heap} = this;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(timer, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = timer;
  }

  private pop(): Timer {
    const {heap} = this;
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = index * 2 + 1;
      if (child >= heap.length) break;
      const right = heap[child + 1];
      if (right && isBefore(right, heap[child]!)) child++;
      if (!isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return first;
  }
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.sequence < b.sequence);
}

/** Runs all tasks until each waits for a timer or has ended. */
function drainReadyTasks(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
