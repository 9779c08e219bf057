/** A queue in which more urgent ranks go first, and customers share each rank. */
import {FairQueue, type QueuedRequest} from '../limits/fair_queue.ts';

export interface RankedRequest extends QueuedRequest {
  /** 0 is the most urgent. */
  readonly rank: number;
}

export interface ShiftOptions<T> {
  /** Whether a rank goes before more urgent ones. */
  readonly isDue: (rank: number) => boolean;
  /** Whether the first request of a customer may go. */
  readonly canAdmit: (request: T) => boolean;
}

export class RankedQueue<T extends RankedRequest> {
  /** In order of rank. */
  private queues: Array<{readonly rank: number; readonly queue: FairQueue<T>}> =
    [];

  get length(): number {
    return this.queues.reduce((sum, {queue}) => sum + queue.length, 0);
  }

  push(request: T): void {
    this.getQueue(request.rank).push(request);
  }

  /** Removes and returns the next request; `null` if none can go. */
  shift({isDue, canAdmit}: ShiftOptions<T>): T | null {
    const due = this.queues.filter(({rank}) => isDue(rank));
    for (const {queue} of [...due, ...this.queues]) {
      if (queue.length === 0) continue;
      const request = queue.shift(canAdmit);
      if (request) return request;
    }
    return null;
  }

  /** Records a request that did not have to wait. */
  recordAdmission(request: Omit<RankedRequest, 'expiresAt'>): void {
    this.getQueue(request.rank).recordAdmission(request);
  }

  remove(request: T): boolean {
    return this.getQueue(request.rank).remove(request);
  }

  removeWhere(matches: (request: T) => boolean): T[] {
    return this.queues.flatMap(({queue}) => queue.removeWhere(matches));
  }

  /** Counts the requests of more urgent ranks. */
  countMoreUrgent(than: number): number {
    return this.queues.reduce(
      (sum, {rank, queue}) => sum + (rank < than ? queue.length : 0),
      0,
    );
  }

  /** Counts the requests of its rank that go before a new one. */
  countAhead(request: {
    readonly rank: number;
    readonly customer: string;
    readonly weight: number;
  }): number {
    return this.getQueue(request.rank).countAhead(request);
  }

  private getQueue(rank: number): FairQueue<T> {
    const known = this.queues.find(each => each.rank === rank);
    if (known) return known.queue;
    const queue = new FairQueue<T>();
    this.queues = [...this.queues, {rank, queue}].sort(
      (a, b) => a.rank - b.rank,
    );
    return queue;
  }
}
