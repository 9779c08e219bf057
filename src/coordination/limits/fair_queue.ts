/**
 * Start-time fair queueing over customers.
 *
 * Each customer has a virtual finish time that grows by cost over weight with
 * every admitted request; the customer with the earliest one goes next. A large
 * customer thus uses the capacity that others leave, and no more.
 */

export interface QueuedRequest {
  readonly customer: string;
  readonly weight: number;
  readonly cost: number;
  readonly priority: number;
  /** When the request leaves the queue, on the monotonic clock. */
  readonly expiresAt: number;
}

interface Flow<T> {
  weight: number;
  finish: number;
  /** Highest priority first, then in order of arrival. */
  readonly waiting: T[];
}

/** A queue that shares admissions among customers by weight. */
export class FairQueue<T extends QueuedRequest> {
  private readonly flows = new Map<string, Flow<T>>();
  private virtualTime = 0;
  private count = 0;

  get length(): number {
    return this.count;
  }

  /** Adds a request after those of its customer with the same priority. */
  push(request: T): void {
    const flow = this.getFlow(request);
    let index = flow.waiting.length;
    while (index > 0) {
      const before = flow.waiting[index - 1];
      if (!before || before.priority >= request.priority) break;
      index--;
    }
    flow.waiting.splice(index, 0, request);
    this.count++;
  }

  /**
   * Removes and returns the next request. Considers only the first request of
   * each customer, and skips those for which `canAdmit` is false.
   */
  shift(canAdmit: (request: T) => boolean = () => true): T | null {
    let next: Flow<T> | null = null;
    for (const flow of this.flows.values()) {
      const [first] = flow.waiting;
      if (!first || !canAdmit(first)) continue;
      if (!next || this.getStart(flow) < this.getStart(next)) next = flow;
    }
    const request = next?.waiting.shift();
    if (!next || !request) return null;
    this.count--;
    this.recordAdmission(request);
    return request;
  }

  /** Advances the customer's virtual finish time by an admitted request. */
  recordAdmission(request: Omit<QueuedRequest, 'expiresAt'>): void {
    const flow = this.getFlow(request);
    const start = this.getStart(flow);
    this.virtualTime = Math.max(this.virtualTime, start);
    flow.finish = start + request.cost / flow.weight;
  }

  /** Removes a request; returns false if it is not in the queue. */
  remove(request: T): boolean {
    const waiting = this.flows.get(request.customer)?.waiting ?? [];
    const index = waiting.indexOf(request);
    if (index < 0) return false;
    waiting.splice(index, 1);
    this.count--;
    return true;
  }

  /** Removes all matching requests, and the state of idle customers. */
  removeWhere(matches: (request: T) => boolean): T[] {
    const removed: T[] = [];
    for (const [customer, flow] of this.flows) {
      const matching = flow.waiting.filter(matches);
      for (const request of matching) {
        this.remove(request);
        removed.push(request);
      }
      const idle = flow.waiting.length === 0;
      if (idle && flow.finish <= this.virtualTime) this.flows.delete(customer);
    }
    return removed;
  }

  /** Counts the requests that would go before a new one of this customer. */
  countAhead({customer, weight}: {customer: string; weight: number}): number {
    const own = this.flows.get(customer);
    const ownWaiting = own?.waiting.length ?? 0;
    const ownStart = own ? this.getStart(own) : this.virtualTime;
    const start = ownStart + ownWaiting / weight;
    let ahead = ownWaiting;
    for (const flow of this.flows.values()) {
      if (flow === own) continue;
      const before = (start - this.getStart(flow)) * flow.weight;
      ahead += Math.min(flow.waiting.length, Math.max(0, Math.ceil(before)));
    }
    return ahead;
  }

  /**
   * Removes the last request of the customer with the longest queue relative
   * to its weight. Returns `null` if that is the customer of `request`, which
   * is counted as queued.
   */
  evictFromLongest(request: T): T | null {
    const length = (flow: Flow<T>) => flow.waiting.length / flow.weight;
    const own = this.flows.get(request.customer);
    let ownLength = ((own?.waiting.length ?? 0) + 1) / request.weight;
    let longest: Flow<T> | null = null;
    for (const flow of this.flows.values()) {
      if (flow === own || length(flow) <= ownLength) continue;
      longest = flow;
      ownLength = length(flow);
    }
    const last = longest?.waiting.at(-1);
    if (!last) return null;
    this.remove(last);
    return last;
  }

  private getStart(flow: Flow<T>): number {
    return Math.max(this.virtualTime, flow.finish);
  }

  private getFlow({customer, weight}: {customer: string; weight: number}) {
    let flow = this.flows.get(customer);
    if (!flow) {
      flow = {weight, finish: 0, waiting: []};
      this.flows.set(customer, flow);
    }
    flow.weight = weight;
    return flow;
  }
}
