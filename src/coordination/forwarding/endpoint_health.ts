/** What one gateway saw of each endpoint with its own eyes. */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointLoad} from '../../protocol/core_service.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';

/** The first ejection; each further one in a row lasts twice as long. */
const EJECT_MS = 1_000;

/** The longest ejection. */
const MAX_EJECT_MS = 8_000;

/** Failures in a row after which an endpoint is ejected. */
const MAX_FAILURES = 3;

/** How long an endpoint that refused for want of room is left alone. */
const FULL_MS = 250;

/** The weight of the newest answer in the share of failures. */
const FAILURE_WEIGHT = 0.12;

interface EndpointState {
  /** Which start of the endpoint this is about. */
  startedAtMs: number;
  open: number;
  /** Failures in a row. */
  failures: number;
  /** The share of answers that failed, newest first. */
  failureShare: number;
  ejections: number;
  ejectedUntil: number;
  fullUntil: number;
  /** When it last answered anything, on the monotonic clock. */
  answeredAt: number;
}

/** Counts requests and failures by endpoint. */
export class EndpointHealth {
  private readonly states = new Map<string, EndpointState>();

  constructor(private readonly clock: Clock) {}

  /** Notes that a request goes to an endpoint; call the result at its end. */
  open(endpoint: EndpointEntry): Disposable {
    const state = this.get(endpoint);
    state.open++;
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
   * Notes a failure.
   *
   * @param isUnreachable Whether it shows that nothing answers there.
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

  /** Notes that an endpoint had no room. */
  recordFull(endpoint: EndpointEntry): void {
    this.get(endpoint).fullUntil = this.clock.monotonic() + FULL_MS;
  }

  /** Notes that it answered, whatever it said. */
  recordAnswer(endpoint: EndpointEntry): void {
    this.get(endpoint).answeredAt = this.clock.monotonic();
  }

  /**
   * Notes that an attempt was given up before its answer began. Only an
   * endpoint that answered nobody since then has failed; others are busy.
   *
   * @param startedAt When the attempt began, on the monotonic clock.
   */
  recordOverdue(endpoint: EndpointEntry, startedAt: number): void {
    if (this.hasAnsweredSince(endpoint, startedAt)) return;
    this.recordFailure(endpoint, false);
  }

  /** Whether an endpoint answered anyone since, on the monotonic clock. */
  hasAnsweredSince(endpoint: EndpointEntry, since: number): boolean {
    return this.get(endpoint).answeredAt >= since;
  }

  /** The requests that this gateway has open at an endpoint. */
  countOpen(endpoint: EndpointEntry): number {
    return this.get(endpoint).open;
  }

  isEjected(endpoint: EndpointEntry): boolean {
    return this.get(endpoint).ejectedUntil > this.clock.monotonic();
  }

  isFull(endpoint: EndpointEntry): boolean {
    return this.get(endpoint).fullUntil > this.clock.monotonic();
  }

  /** The share of answers that failed, from 0 to 1. */
  getFailureShare(endpoint: EndpointEntry): number {
    return this.get(endpoint).failureShare;
  }

  /** The open requests of this gateway by endpoint, for the core. */
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
    };
    this.states.set(id, fresh);
    return fresh;
  }
}
