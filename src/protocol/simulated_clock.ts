/** A clock for tests, whose time advances only on request. */
import type {Clock} from './clock.ts';

interface Timer {
  atMs: number;
  order: number;
  fire: () => void;
}

export class SimulatedClock implements Clock {
  private timeMs = 0;
  private order = 0;
  private readonly timers = new Set<Timer>();

  now(): number {
    return this.timeMs;
  }

  monotonic(): number {
    return this.timeMs;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const finish = () => {
        this.timers.delete(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer: Timer = {
        atMs: this.timeMs + Math.max(0, ms),
        order: this.order++,
        fire: finish,
      };
      this.timers.add(timer);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }

  /** Fires the timers due in the next `ms`, and waits for each one's work. */
  async advance(ms: number): Promise<void> {
    const end = this.timeMs + ms;
    await flushTasks();
    for (;;) {
      const next = this.findNext();
      if (!next || next.atMs > end) break;
      this.timeMs = next.atMs;
      next.fire();
      await flushTasks();
    }
    this.timeMs = end;
  }

  private findNext(): Timer | undefined {
    let first: Timer | undefined;
    for (const timer of this.timers) {
      if (!first || isBefore(timer, first)) first = timer;
    }
    return first;
  }
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.atMs === b.atMs ? a.order < b.order : a.atMs < b.atMs;
}

/** Runs all pending promise callbacks. */
function flushTasks(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
