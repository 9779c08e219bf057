/** Tracks the health of endpoints as observed by this gateway. */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointLoad} from '../../protocol/core_service.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';

/** The first ejection, in ms; each consecutive one lasts twice as long. */
const EJECT_MS = 1_000;

/** The longest ejection, in ms. */
const MAX_EJECT_MS = 8_000;

/** Consecutive failures after which an endpoint is ejected. */
const MAX_FAILURES = 3;

/** How long an endpoint that refused a request counts as full, in ms. */
const FULL_MS = 250;

/** How long an endpoint that was left as silent counts as silent, in ms. */
const LEFT_MS = 3_000;

/** The weight of the newest answer in the moving average of failures. */
const FAILURE_WEIGHT = 0.12;

interface EndpointState {
  /** The start of the endpoint that this state belongs to. */
  startedAtMs: number;
  open: number;
  /** Consecutive failures. */
  failures: number;
  /** The share of answers that failed, as a moving average. */
  failureShare: number;
  ejections: number;
  ejectedUntil: number;
  fullUntil: number;
  /** When it last answered any request, on the monotonic clock. */
  answeredAt: number;
  /** When it last sent a part of any answer, on the monotonic clock. */
  spokeAt: number;
  /** Since when requests are open, on the monotonic clock. */
  openSince: number;
  /** When an answer was last moved away from its silence. */
  leftAt: number;
}

/** Counts requests and failures by endpoint. */
export class EndpointHealth {
  private readonly states = new Map<string, EndpointState>();

  constructor(private readonly clock: Clock) {}

  /** Counts an open request; dispose the result when it ends. */
  open(endpoint: EndpointEntry): Disposable {
    const state = this.get(endpoint);
    if (state.open++ === 0) state.openSince = this.clock.monotonic();
    let closed = false;
    return {
      [Symbol.dispose]() {
        if (!closed) state.open--;
        closed = true;
      },
    };
  }

  recordSuccess(endpoint: EndpointEntry): void {
    const state = this.get(endpoint);
    state.answeredAt = this.clock.monotonic();
    state.failures = 0;
    state.ejections = 0;
    state.failureShare *= 1 - FAILURE_WEIGHT;
  }

  /**
   * Records a failure.
   *
   * @param isUnreachable Whether nothing answers at its address; this ejects
   *     the endpoint at once.
   */
  recordFailure(endpoint: EndpointEntry, isUnreachable: boolean): void {
    const state = this.get(endpoint);
    state.failures += isUnreachable ? MAX_FAILURES : 1;
    state.failureShare += (1 - state.failureShare) * FAILURE_WEIGHT;
    if (state.failures < MAX_FAILURES) return;
    const ejectMs = Math.min(MAX_EJECT_MS, EJECT_MS * 2 ** state.ejections);
    state.ejectedUntil = this.clock.monotonic() + ejectMs;
    state.ejections++;
    state.failures = 0;
  }

  /** Drops failures that were due to the gateway's own links. */
  dropFailures(endpoints: readonly EndpointEntry[]): void {
    for (const endpoint of endpoints) {
      const state = this.get(endpoint);
      state.failures = 0;
      state.ejections = 0;
      state.ejectedUntil = -Infinity;
      state.failureShare = 0;
    }
  }

  /** Records that an endpoint refused a request because it was full. */
  recordFull(endpoint: EndpointEntry): void {
    this.get(endpoint).fullUntil = this.clock.monotonic() + FULL_MS;
  }

  /** Records any answer of an endpoint. */
  recordAnswer(endpoint: EndpointEntry): void {
    this.get(endpoint).answeredAt = this.clock.monotonic();
  }

  /**
   * Records an attempt that was aborted before its answer began. It counts as a
   * failure only if the endpoint answered no other request since then;
   * otherwise the endpoint is busy.
   *
   * @param startedAt When the attempt began, on the monotonic clock.
   */
  recordOverdue(endpoint: EndpointEntry, startedAt: number): void {
    if (this.hasAnsweredSince(endpoint, startedAt)) return;
    this.recordFailure(endpoint, false);
  }

  /** Whether it answered any request since a time on the monotonic clock. */
  hasAnsweredSince(endpoint: EndpointEntry, since: number): boolean {
    return this.get(endpoint).answeredAt >= since;
  }

  /** Records that an endpoint sent a part of any answer. */
  recordOutput(endpoint: EndpointEntry): void {
    this.get(endpoint).spokeAt = this.clock.monotonic();
  }

  /** Whether it sent anything since a time on the monotonic clock. */
  hasSpokenSince(endpoint: EndpointEntry, since: number): boolean {
    const {spokeAt, answeredAt} = this.get(endpoint);
    return Math.max(spokeAt, answeredAt) > since;
  }

  /** Records that an answer moves away from it, as it is silent. */
  recordLeft(endpoint: EndpointEntry): void {
    this.get(endpoint).leftAt = this.clock.monotonic();
  }

  /**
   * Whether it sent nothing for `ms` although requests are open at it, or since
   * it was left a moment ago. One that sent nothing since its requests were opened
   * may still work on them.
   */
  isSilent(endpoint: EndpointEntry, ms: number): boolean {
    const {open, openSince, leftAt} = this.get(endpoint);
    const wasLeft = this.clock.monotonic() - leftAt < LEFT_MS;
    if (wasLeft && !this.hasSpokenSince(endpoint, leftAt)) return true;
    if (open === 0 || !this.hasSpokenSince(endpoint, openSince)) return false;
    return !this.hasSpokenSince(endpoint, this.clock.monotonic() - ms);
  }

  /** Counts the requests that this gateway has open at an endpoint. */
  countOpen(endpoint: EndpointEntry): number {
    return this.get(endpoint).open;
  }

  isEjected(endpoint: EndpointEntry): boolean {
    return this.get(endpoint).ejectedUntil > this.clock.monotonic();
  }

  isFull(endpoint: EndpointEntry): boolean {
    return this.get(endpoint).fullUntil > this.clock.monotonic();
  }

  /** Whether requests go to it while there is a choice. */
  isUsable(endpoint: EndpointEntry): boolean {
    return (
      !endpoint.silent && !this.isEjected(endpoint) && !this.isFull(endpoint)
    );
  }

  /** The recent share of its answers that failed, 0 to 1. */
  getFailureShare(endpoint: EndpointEntry): number {
    return this.get(endpoint).failureShare;
  }

  /** Lists this gateway's load by endpoint, to report it to the core. */
  listLoads(
    getPrefillMs: (
      endpoint: Pick<EndpointEntry, 'id' | 'startedAtMs'>,
    ) => number,
  ): EndpointLoad[] {
    return [...this.states]
      .filter(([, {open}]) => open > 0)
      .map(([id, {open, startedAtMs}]) => ({
        id,
        open,
        readingMs: Math.round(getPrefillMs({id, startedAtMs})),
      }));
  }

  private get({id, startedAtMs}: EndpointEntry): EndpointState {
    const known = this.states.get(id);
    if (known && known.startedAtMs >= startedAtMs) return known;
    const fresh: EndpointState = {
      startedAtMs,
      open: 0,
      failures: 0,
      failureShare: 0,
      ejections: 0,
      ejectedUntil: -Infinity,
      fullUntil: -Infinity,
      answeredAt: -Infinity,
      spokeAt: -Infinity,
      openSince: -Infinity,
      leftAt: -Infinity,
    };
    this.states.set(id, fresh);
    return fresh;
  }
}
