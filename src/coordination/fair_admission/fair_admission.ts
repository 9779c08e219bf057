/**
 * Decides, before the first attempt of a request, whether it goes to an endpoint,
 * waits for a short time, or is refused with the time to come back.
 *
 * While a service has room, every request goes at once. The decision uses only what
 * this gateway knows; nothing on the request path waits for another process.
 */
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {
  AttemptOptions,
  AttemptOutcome,
  Call,
  CallerSink,
  SendAttempt,
} from '../forwarding/call.ts';
import type {CallRun} from '../forwarding/call_run.ts';
import {handleAbort} from '../forwarding/handle_abort.ts';
import type {PrefillBacklog} from '../forwarding/prefill_backlog.ts';
import {refuseCall} from '../forwarding/refuse.ts';
import type {Shutdown} from '../forwarding/shutdown.ts';
import type {Admission, AdmitOptions} from './admission_hooks.ts';
import {getRank} from './compute_urgency.ts';
import {planReturnMs} from './plan_return.ts';
import {ServiceLane, type Wait, type WaitOutcome} from './service_lane.ts';
import {ServiceRoom, type ServiceRoomOptions} from './service_room.ts';
import {WaitReport} from './wait_report.ts';

/**
 * Share of the objective that an attempt may wait at its endpoint. More leaves too
 * little for the answer itself and for a retry.
 */
const LATE_SHARE = 0.4;

/**
 * Requests leave retries in the budget for those that go before them: one for each
 * such request of this time.
 */
const RETRY_RESERVE_MS = 1_500;

export interface FairAdmissionOptions extends ServiceRoomOptions {
  readonly prefillBacklog: Pick<PrefillBacklog, 'getRate'>;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

export class FairAdmission implements Admission {
  private readonly lanes = new Map<string, ServiceLane>();
  private readonly runs = new WeakMap<Call, CallRun>();
  private readonly room: ServiceRoom;
  private readonly report: WaitReport;

  constructor(private readonly options: FairAdmissionOptions) {
    this.room = new ServiceRoom(options);
    this.report = new WaitReport(options);
  }

  /** Resolves when a request may go; finishes the run if it may not. */
  async admit(run: CallRun, {sink, shutdown}: AdmitOptions): Promise<void> {
    const service = run.admitted.service.name;
    const lane = this.getLane(service);
    const rank = getRank(run.admitted);
    this.runs.set(run.call, run);
    const decision = lane.decide(run);
    if (decision.type === 'admitted') return;
    if (decision.type === 'refused') {
      this.report.recordRefusal(service, lane, rank);
      return this.refuse(run, sink);
    }
    const {wait, predictedMs} = decision;
    const {clock} = this.options;
    const since = clock.monotonic();
    const outcome = await waitFor(wait, {run, shutdown});
    const actualMs = clock.monotonic() - since;
    this.report.recordWait(service, lane, {
      rank,
      outcome,
      predictedMs,
      actualMs,
    });
    if (outcome === 'expired') this.refuse(run, sink);
  }

  /** Returns a `send` that also records what attempts show of the room. */
  observe(send: SendAttempt): SendAttempt {
    const {clock} = this.options;
    return async (call, options) => {
      const startedAt = clock.monotonic();
      this.recordStart(call, options);
      const outcome = await send(call, options);
      const ms = clock.monotonic() - startedAt;
      this.recordOutcome(call, options, {outcome, ms});
      return outcome;
    };
  }

  recordNoRoom(run: CallRun): number {
    const {pace} = this.getLane(run.admitted.service.name);
    pace.record('refused', this.options.clock.monotonic());
    return this.planReturnMs(run);
  }

  getRetryReserve(run: CallRun): number {
    const lane = this.getLane(run.admitted.service.name);
    if (!lane.pace.isPressed) return 0;
    const perSecond = lane.getPrecedingPerSecond(run);
    return Math.ceil((perSecond * RETRY_RESERVE_MS) / 1_000);
  }

  private planReturnMs(run: CallRun): number {
    const lane = this.getLane(run.admitted.service.name);
    const leftMs = run.admitted.deadline - this.options.clock.monotonic();
    const waitMs = lane.predictWaitMs(run);
    const servedShare = lane.getServedShare(run);
    const {random} = this.options;
    return planReturnMs({waitMs, servedShare, leftMs, random});
  }

  private refuse(run: CallRun, sink: CallerSink): void {
    const retryAfterMs = this.planReturnMs(run);
    run.finish('no-room', refuseCall(sink, {reason: 'no-room', retryAfterMs}));
  }

  /** Records an attempt that is expected to wait for too long. */
  private recordStart(call: Call, {endpoint}: AttemptOptions): void {
    const run = this.runs.get(call);
    if (!run || run.expectedMs === null) return;
    if (!this.isLate(run, run.expectedMs)) return;
    const {pace} = this.getLane(endpoint.service);
    pace.record('late', this.options.clock.monotonic());
  }

  private recordOutcome(
    call: Call,
    {endpoint}: AttemptOptions,
    {outcome, ms}: {outcome: AttemptOutcome; ms: number},
  ): void {
    const run = this.runs.get(call);
    if (!run) return;
    this.room.record(endpoint, outcome);
    const now = this.options.clock.monotonic();
    const lane = this.getLane(endpoint.service);
    if (outcome.type !== 'answer' && outcome.type !== 'aborted') return;
    const isLate = this.isLate(run, ms);
    // A caller that leaves early tells nothing.
    if (outcome.type === 'aborted' && !isLate) return;
    lane.pace.record(isLate ? 'late' : 'accepted', now);
    if (!isLate) lane.recordAnswer(ms);
  }

  /** Whether an attempt waits for too long, apart from its own prompt. */
  private isLate({admitted, model, uncachedTokens}: CallRun, ms: number) {
    const {service, route} = admitted;
    const rate = this.options.prefillBacklog.getRate(service.name, model);
    const ownMs = rate.fixedMs + rate.msPerToken * uncachedTokens;
    return ms - ownMs > route.objectiveMs * LATE_SHARE;
  }

  private getLane(service: string): ServiceLane {
    const known = this.lanes.get(service);
    if (known) return known;
    const lane = new ServiceLane({
      clock: this.options.clock,
      room: this.room,
    });
    this.lanes.set(service, lane);
    return lane;
  }
}

async function waitFor(
  wait: Wait,
  {run, shutdown}: {run: CallRun; shutdown: Pick<Shutdown, 'handleAbort'>},
): Promise<WaitOutcome> {
  const leave = () => wait.leave();
  if (run.call.signal.aborted) leave();
  using _left = handleAbort(run.call.signal, leave);
  using _interrupted = shutdown.handleAbort(leave);
  return await wait.outcome;
}
