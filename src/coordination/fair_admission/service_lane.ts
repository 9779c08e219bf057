/** The admission of requests to one service at one gateway. */
import type {Clock} from '../../protocol/clock.ts';
import type {AdmittedCall} from '../forwarding/admit_call.ts';
import type {CallRun} from '../forwarding/call_run.ts';
import {getRank} from './compute_urgency.ts';
import {DemandWindow} from './demand_window.ts';
import {FlowCredits, type FlowKey} from './flow_credits.ts';
import {RankedQueue, type RankedRequest} from './ranked_queue.ts';
import {ServicePace} from './service_pace.ts';
import type {ServiceRoom} from './service_room.ts';

/** The longest wait: callers leave early if nothing of an answer arrives. */
const MAX_WAIT_MS = 500;

/** Share of the objective that may pass in the queue. */
const WAIT_SHARE = 0.5;

/** Factor on the usual time of an answer that must be left after a wait. */
const ANSWER_FACTOR = 1.3;

/** The weight of the newest answer in the usual time of answers. */
const ANSWER_WEIGHT = 0.1;

/** The interval at which waiting requests are looked through. */
const CHECK_MS = 10;

/** The age of a look at the endpoints by which requests may be refused. */
const LOOK_MS = 10;

/** The same while nothing is refused: a look at 63 endpoints takes 20 us. */
const CALM_LOOK_MS = 250;

/** The most requests that wait at once. */
const MAX_WAITING = 2_000;

/** How a request left the queue. */
export type WaitOutcome = 'admitted' | 'expired' | 'left';

/** What was decided for a request that has just arrived. */
export type Decision =
  | {readonly type: 'admitted'}
  | {readonly type: 'refused'; readonly predictedMs: number}
  | {
      readonly type: 'waits';
      readonly predictedMs: number;
      readonly wait: Wait;
    };

/** A request in the queue. */
export interface Wait {
  readonly outcome: Promise<WaitOutcome>;
  /** Takes the request out of the queue: its caller left. */
  leave(): void;
}

interface Waiter extends RankedRequest {
  readonly run: CallRun;
  settle(outcome: WaitOutcome): void;
}

export interface ServiceLaneOptions {
  readonly clock: Clock;
  readonly room: Pick<ServiceRoom, 'hasRoom'>;
}

export class ServiceLane {
  readonly pace = new ServicePace();
  private readonly demand = new DemandWindow();
  private readonly credits = new FlowCredits(this.demand);
  private readonly queue = new RankedQueue<Waiter>();
  /** Waiting requests by rank and customer. */
  private readonly waiting = new Map<string, number>();
  private answerMs = 0;
  private isDraining = false;

  constructor(private readonly options: ServiceLaneOptions) {}

  /** The number of requests that wait. */
  get length(): number {
    return this.queue.length;
  }

  /** Requests per second that arrived lately. */
  get demandPerSecond(): number {
    return this.demand.getPerSecond(this.options.clock.monotonic());
  }

  /** Requests per second that go before one of this rank and customer. */
  getPrecedingPerSecond({admitted}: CallRun): number {
    return this.credits.getPrecedingPerSecond(createFlowKey(admitted));
  }

  /** Records the time from an attempt to its answer. */
  recordAnswer(ms: number): void {
    this.answerMs += (ms - this.answerMs) * ANSWER_WEIGHT;
  }

  /** Decides whether a request goes, waits or is refused. */
  decide(run: CallRun): Decision {
    const now = this.options.clock.monotonic();
    const flow = createFlowKey(run.admitted);
    const lookMs = this.pace.isPressed ? LOOK_MS : CALM_LOOK_MS;
    const hasRoom = this.options.room.hasRoom(run, lookMs);
    this.demand.record(flow, {now, hasRoom});
    this.update(now);
    if (!this.pace.isPressed) return {type: 'admitted'};
    if (hasRoom) return this.admit(flow, now);
    if (this.queue.length === 0 && this.isWithinShare(flow, now)) {
      return this.admit(flow, now);
    }
    const predictedMs = this.predictWaitMs(run);
    const maxWaitMs = this.computeMaxWaitMs(run, now);
    if (predictedMs > maxWaitMs || this.queue.length >= MAX_WAITING) {
      return {type: 'refused', predictedMs};
    }
    const wait = this.enqueue(run, {flow, expiresAt: now + maxWaitMs});
    return {type: 'waits', predictedMs, wait};
  }

  /** The share of the requests like this one that the pace covers, 0 to 1. */
  getServedShare({admitted}: CallRun): number {
    return this.credits.getServedShare(createFlowKey(admitted));
  }

  /** Predicts how long a request that arrives now would wait, in ms. */
  predictWaitMs({admitted}: CallRun): number {
    const now = this.options.clock.monotonic();
    const flow = createFlowKey(admitted);
    const {pace, credits, queue} = this;
    this.update(now);
    if (!pace.isPressed) return 0;
    const weight = credits.getWeight(flow, now);
    const ahead = queue.countAhead({...flow, weight});
    const strictMs =
      ((queue.countMoreUrgent(flow.rank) + ahead) / pace.perSecond) * 1_000;
    const floorMs = credits.getFloorWaitMs(flow.rank, {now, waiting: ahead});
    const aheadMs = Math.min(strictMs, floorMs);
    const waiting = this.waiting.get(createName(flow)) ?? 0;
    const shareMs = credits.getWaitMs(flow, {now, waiting});
    return Math.max(shareMs, pace.getWaitMs(now) + aheadMs);
  }

  private update(now: number): void {
    const {pace} = this;
    pace.update(now, this.demand.getPerSecond(now));
    if (pace.isPressed) this.credits.update(now, pace.perSecond);
  }

  private admit(flow: FlowKey, now: number): Decision {
    const weight = this.credits.getWeight(flow, now);
    this.queue.recordAdmission({...flow, weight, cost: 1, priority: 0});
    this.take(flow, now);
    return {type: 'admitted'};
  }

  private take(flow: FlowKey, now: number): void {
    this.pace.take(now);
    this.credits.take(flow, now);
  }

  /** Whether a request of a flow that has just arrived may go. */
  private isWithinShare(flow: FlowKey, now: number): boolean {
    if (this.pace.getWaitMs(now) > 0) return false;
    return this.credits.getWaitMs(flow, {now, waiting: 0}) === 0;
  }

  /**
   * Whether a request that waits may go. What others leave unused goes to customers
   * over their share, but only to requests that wait: a caller that repeats at once
   * would else find most of it.
   */
  private canGo(flow: FlowKey, now: number): boolean {
    return this.pace.isIdle(now) || this.isWithinShare(flow, now);
  }

  /** The longest wait after which a request can still be served in time. */
  private computeMaxWaitMs({call, admitted}: CallRun, now: number): number {
    const {objectiveMs} = admitted.route;
    const answerMs = this.answerMs * ANSWER_FACTOR;
    const beginBy = Math.min(call.receivedAt + objectiveMs, admitted.deadline);
    return Math.min(
      MAX_WAIT_MS,
      objectiveMs * WAIT_SHARE,
      beginBy - answerMs - now,
    );
  }

  private enqueue(
    run: CallRun,
    {flow, expiresAt}: {flow: FlowKey; expiresAt: number},
  ): Wait {
    let resolve: (outcome: WaitOutcome) => void = () => {};
    const outcome = new Promise<WaitOutcome>(settle => (resolve = settle));
    const name = createName(flow);
    const count = (by: number) => {
      const next = (this.waiting.get(name) ?? 0) + by;
      if (next > 0) this.waiting.set(name, next);
      else this.waiting.delete(name);
    };
    const now = this.options.clock.monotonic();
    const waiter: Waiter = {
      ...flow,
      weight: this.credits.getWeight(flow, now),
      cost: 1,
      // Within a customer, the request with the least time left goes first.
      priority: -run.admitted.deadline,
      expiresAt,
      run,
      settle: result => {
        count(-1);
        resolve(result);
      },
    };
    this.queue.push(waiter);
    count(1);
    void this.drain();
    const leave = () => {
      if (this.queue.remove(waiter)) waiter.settle('left');
    };
    return {outcome, leave};
  }

  /** Admits waiting requests until none is left. */
  private async drain(): Promise<void> {
    if (this.isDraining) return;
    this.isDraining = true;
    const {clock} = this.options;
    while (this.queue.length > 0) {
      this.admitWaiting(clock.monotonic());
      if (this.queue.length === 0) break;
      const waitMs = this.pace.getWaitMs(clock.monotonic());
      await clock.sleep(waitMs > 0 ? Math.min(CHECK_MS, waitMs) : CHECK_MS);
    }
    this.isDraining = false;
  }

  private admitWaiting(now: number): void {
    const {room} = this.options;
    const {pace, credits, queue} = this;
    this.update(now);
    const free = queue.removeWhere(
      ({run}) => !pace.isPressed || room.hasRoom(run, LOOK_MS),
    );
    for (const waiter of free) this.settle(waiter, now);
    while (pace.getWaitMs(now) === 0) {
      const next = queue.shift({
        isDue: rank => credits.isDue(rank, now),
        canAdmit: waiter => this.canGo(waiter, now),
      });
      if (!next) break;
      this.settle(next, now);
    }
    const expired = queue.removeWhere(({expiresAt}) => expiresAt <= now);
    for (const waiter of expired) waiter.settle('expired');
  }

  private settle(waiter: Waiter, now: number): void {
    this.take(waiter, now);
    waiter.settle('admitted');
  }
}

function createFlowKey(admitted: AdmittedCall): FlowKey {
  return {rank: getRank(admitted), customer: admitted.caller ?? ''};
}

function createName({rank, customer}: FlowKey): string {
  return `${rank}\n${customer}`;
}
