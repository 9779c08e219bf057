/**
 * Forwards requests to endpoints; the only request path of a routing gateway.
 *
 * A request is sent to one endpoint at a time. It is retried at another one
 * only when it is known not to have run, or when it is repeatable and the
 * attempt limit, the retry budget and the deadline allow it. The caller gets
 * exactly one answer, as soon as there is nothing left to try.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {RetryBudgets} from '../limits/retry_budgets.ts';
import {
  admitAgain,
  admitCall,
  isFinal,
  type AdmitCallOptions,
} from './admit_call.ts';
import type {Call, CallerSink, SendAttempt} from './call.ts';
import {deliverHeld} from './deliver_held.ts';
import {EndpointPicker} from './endpoint_picker.ts';
import {Escalation} from './escalation.ts';
import type {AdmissionHooks} from '../fair_admission/admission_hooks.ts';
import type {SelectionOptions} from '../selection/endpoint_rules.ts';
import type {EndpointNotices} from './endpoint_notices.ts';
import {findFallbackMs} from './find_fallback.ts';
import {handleAbort} from './handle_abort.ts';
import {Handover} from './handover.ts';
import {isUsedUp} from './is_used_up.ts';
import type {Quarantine} from '../quarantine/quarantine.ts';
import type {CallRelay} from '../reach/call_relay.ts';
import type {RecentGateways} from './recent_gateways.ts';
import {planRefusal, type UndeliveredRun} from './plan_refusal.ts';
import {refuseCall, type RefusalReason} from './refuse.ts';
import {refuseEarly} from './refuse_early.ts';
import {
  runAttempt,
  type AttemptChoice,
  type AttemptResult,
} from './run_attempt.ts';
import {RETRY_HANDOVER_MS} from './silence_watch.ts';
import {breakOff} from './break_off.ts';
import {CallRun, type BlockReason} from './call_run.ts';
import {Shutdown} from './shutdown.ts';
import {recordAttempt, type RecordAttemptOptions} from './record_attempt.ts';
import {recordRun} from './record_run.ts';

/**
 * Share of the service's retry budget that gateways use. Each gateway applies
 * the ratio to its own requests, so that their total stays within the service's
 * ratio without coordination.
 */
const RETRY_BUDGET_SHARE = 0.85;

/**
 * Share of the objective within which a wait for a requested back-off must end.
 * The rest is needed to answer the request.
 */
const WAIT_SHARE = 0.6;

/** Longest wait before a further successor of an answer, in ms. */
const MAX_AGAIN_MS = 1_000;

export interface ForwarderOptions
  extends
    RecordAttemptOptions,
    SelectionOptions,
    AdmissionHooks,
    Omit<AdmitCallOptions, 'view'> {
  readonly notices: EndpointNotices;
  readonly quarantine: Quarantine;
  readonly relay: CallRelay;
  readonly gateways: RecentGateways;
  readonly clock: Clock;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly send: SendAttempt;
  readonly region: string;
  readonly dataCentre: string;
  /** The region of a data centre; `null` when it is unknown. */
  readonly findRegion: (dataCentre: string) => string | null;
  /** Retries allowed per service, as a share of its requests. */
  readonly retryRatio: number;
  /** Retries allowed per service and window on top of that share. */
  readonly retryExtra: number;
  /** The length of the retry budget's window, in ms. */
  readonly retryWindowMs: number;
}

/** Forwards the requests of one gateway. */
export class Forwarder {
  readonly shutdown: Shutdown;
  private readonly budgets: RetryBudgets;
  private readonly escalation: Escalation;
  private readonly picker: EndpointPicker;
  private readonly handover: Handover;
  private isStopping = false;

  constructor(private readonly options: ForwarderOptions) {
    this.shutdown = new Shutdown(options.clock);
    this.picker = new EndpointPicker(options);
    const {clock, gateways, retryRatio, retryExtra, retryWindowMs} = options;
    this.budgets = new RetryBudgets({
      clock,
      windowMs: retryWindowMs,
      ratio: retryRatio * RETRY_BUDGET_SHARE,
      getExtra: () => (retryExtra * RETRY_BUDGET_SHARE) / gateways.count(),
    });
    const {budgets, picker, shutdown} = this;
    const parts = {...options, budgets, picker, shutdown};
    this.handover = new Handover(parts);
    this.escalation = new Escalation(parts);
  }

  /** Answers a request; resolves when the answer is complete or aborted. */
  async forward(call: Call, sink: CallerSink): Promise<void> {
    if (this.isStopping) return this.refuse(call, sink, 'stopping');
    let admitted = admitCall(call, this.options);
    if (isFinal(admitted)) admitted = await admitAgain(call, this.options);
    if (!admitted.ok) return this.refuse(call, sink, admitted.error);
    const run = new CallRun(admitted.value);
    const {admission} = this.options;
    this.budgets.get(admitted.value.service.name).deposit();
    try {
      if (admission)
        await admission.admit(run, {sink, shutdown: this.shutdown});
      while (!run.isOver) await this.step(run, sink);
    } finally {
      // An unexpected error must not leave the escalation or the held answer
      // of this request open.
      run.finish('error', 0);
      // A successor that was not started needs its permission no more.
      run.takeReserved();
      this.options.quarantine.finishTrial(run);
    }
    this.shutdown.record(run);
    recordRun(this.options, run);
  }

  /** Refuses new requests: a shutdown could cut off their answers. */
  startRefusing(): void {
    this.isStopping = true;
  }

  /** Makes one attempt, or finishes the run when no attempt is possible. */
  private async step(run: CallRun, sink: CallerSink): Promise<void> {
    const {clock, quarantine, relay} = this.options;
    if (run.call.signal.aborted) return run.finish('left', 0);
    const leftMs = run.admitted.deadline - clock.monotonic();
    if (leftMs <= 0) return this.finishUndelivered(run, sink, 'deadline');
    const reserved = run.takeReserved();
    // A request that has not begun may need a trial, or another gateway.
    if (reserved && run.isGivenUp) {
      return this.attempt(run, sink, {choice: reserved, leftMs});
    }
    if (run.isGivenUp) return this.reserveAgain(run, sink);
    if (!this.shutdown.canEnd(run)) {
      return this.deliverFallback(run, sink, leftMs);
    }
    if (relay.isStuck(run)) return this.finishUndelivered(run, sink, 'no-path');
    const {shutdown} = this;
    const canRetry = () => this.canRetry(run);
    if (relay.isDue(run, sink)) {
      if (await relay.send(run, {sink, shutdown, canRetry})) return;
    }
    const isFallbackDue =
      run.held !== null && findFallbackMs(run, clock.monotonic()) === 0;
    const canSend =
      (run.sends === 0 || (!isFallbackDue && this.canRetry(run))) &&
      (quarantine.isFree(run) || (await this.admitPrompt(run)));
    // The grace period may have ended while the prompt was checked.
    const mayBegin = canSend && this.shutdown.canEnd(run);
    const choice = mayBegin ? this.picker.pick(run) : null;
    if (!choice && mayBegin && (await this.waitForBackoff(run))) return;
    if (!choice && quarantine.listEnded(run).size > 0) {
      run.quarantine ??= 'suspected';
    }
    run.blockedBy = choice ? null : this.explainBlock(run, canSend);
    if (!choice) return this.deliverFallback(run, sink, leftMs);
    return this.attempt(run, sink, {choice, leftMs});
  }

  /** Runs an attempt, and finishes the run if its answer was delivered. */
  private async attempt(
    run: CallRun,
    sink: CallerSink,
    {choice, leftMs}: {choice: AttemptChoice; leftMs: number},
  ): Promise<void> {
    const {shutdown} = this;
    const result = await runAttempt(
      {
        ...this.options,
        sink,
        shutdown,
        handover: this.handover,
        leftMs,
        mayReceive: endpoint =>
          this.picker.mayReceive(endpoint) &&
          // Nothing else is left of an answer that was given up.
          (run.isGivenUp ? !shutdown.isAborted : shutdown.canEnd(run)),
        decideEscalation: confidence =>
          this.escalation.decide(run, choice, confidence),
      },
      run,
      choice,
    );
    this.recordResult(run, choice.endpoint, result);
    this.finishWith(run, sink, result);
  }

  /** Looks for another successor of an answer that was given up. */
  private async reserveAgain(run: CallRun, sink: CallerSink): Promise<void> {
    const waitMs = RETRY_HANDOVER_MS * 2 ** run.furtherSuccessors;
    await this.sleep(run, Math.min(MAX_AGAIN_MS, waitMs));
    if (run.call.signal.aborted) return;
    if (!(await this.admitAgain(run, sink))) return;
    const successor = this.handover.reserveAgain(run);
    if (successor.ok) {
      run.furtherSuccessors++;
      return run.reserve(successor.value, {hasBegun: true});
    }
    const {error: reason} = successor;
    if (this.shutdown.isAborted || reason === 'attempts') {
      this.breakOff(run, sink, reason);
    }
  }

  /** Renews the permission of an answer that was given up. */
  private async admitAgain(run: CallRun, sink: CallerSink): Promise<boolean> {
    const {quarantine} = this.options;
    // The one that it has may have ended during the wait.
    quarantine.finishTrial(run);
    run.isPermitted = false;
    if (quarantine.isFree(run) || this.shutdown.isAborted) return true;
    if (await this.admitPrompt(run)) return true;
    if (run.quarantine === 'condemned') this.breakOff(run, sink, 'quarantine');
    run.furtherSuccessors++;
    return false;
  }

  /** Why the next attempt was not made. */
  private explainBlock(run: CallRun, canSend: boolean): BlockReason {
    if (run.quarantine !== null) return 'quarantine';
    if (canSend) return 'no-endpoint';
    return isUsedUp(run) ? 'attempts' : 'budget';
  }

  private breakOff(run: CallRun, sink: CallerSink, reason: BlockReason): void {
    breakOff(this.options, run, {sink, reason});
  }

  /** Whether the suspected parts of a prompt may go to an endpoint. */
  private async admitPrompt(run: CallRun): Promise<boolean> {
    if (run.isTrial) return true;
    const permission = await this.options.quarantine.admit(run);
    run.isPermitted = permission.type !== 'refused';
    if (permission.type === 'trial') run.trial = permission.trial;
    if (permission.type !== 'refused') return true;
    run.quarantine = permission.isCondemned ? 'condemned' : 'suspected';
    return false;
  }

  /**
   * Waits until the first endpoint's back-off ends or it has room. Returns false
   * without waiting when that does not help or would be too late.
   */
  private async waitForBackoff(run: CallRun): Promise<boolean> {
    if (run.held || run.failedAnswer) return false;
    const waitMs = this.picker.findWaitMs(run);
    if (waitMs === null) return false;
    const {objectiveMs} = run.admitted.route;
    if (this.measureAgeMs(run) + waitMs > objectiveMs * WAIT_SHARE)
      return false;
    if (!this.shutdown.canEnd(run, waitMs)) return false;
    // The retry budget was already charged for the next attempt.
    run.isPaid = run.sends > 0;
    await this.sleep(run, waitMs);
    return true;
  }

  /** Waits, at most until the caller leaves or open requests must end. */
  private async sleep(run: CallRun, ms: number): Promise<void> {
    const wakened = new AbortController();
    const wake = () => wakened.abort('wakened');
    using _left = handleAbort(run.call.signal, wake);
    using _interrupted = this.shutdown.handleAbort(wake);
    await this.options.clock.sleep(ms, wakened.signal);
  }

  private finishWith(
    run: CallRun,
    sink: CallerSink,
    result: AttemptResult,
  ): void {
    if (result.type === 'delivered') run.finish('answered', result.status);
    if (result.type === 'left') run.finish('left', 0);
    if (result.type === 'cut') this.breakOff(run, sink, 'not-resumable');
  }

  /** Delivers the held answer, or finishes the run undelivered without one. */
  private async deliverFallback(
    run: CallRun,
    sink: CallerSink,
    leftMs: number,
  ): Promise<void> {
    const {health, metrics} = this.options;
    const held = sink.hasBegun ? null : run.takeHeld();
    if (!held) {
      const cause = this.shutdown.canEnd(run) ? null : 'stopping';
      return this.finishUndelivered(run, sink, cause);
    }
    const result = await deliverHeld(
      {
        ...this.options,
        handover: this.handover,
        shutdown: this.shutdown,
        sink,
        leftMs,
      },
      run,
      held,
    );
    metrics.count('fallbacks', 1, {outcome: result.type});
    if (result.type === 'delivered') health.recordSuccess(held.endpoint);
    if (result.type === 'broken') health.recordFailure(held.endpoint, false);
    this.finishWith(run, sink, result);
  }

  /** The time since the request was received, in ms. */
  private measureAgeMs({call}: CallRun): number {
    return this.options.clock.monotonic() - call.receivedAt;
  }

  /** Whether another attempt is allowed; charges the retry budget if so. */
  private canRetry(run: CallRun): boolean {
    if (isUsedUp(run)) return false;
    if (run.isPaid) return true;
    const reserve = this.options.admission?.getRetryReserve(run);
    return this.budgets.get(run.admitted.service.name).tryTake(reserve);
  }

  /**
   * Finishes a run that no attempt completed: aborts an answer in progress,
   * else delivers the last failed answer, else refuses the request.
   */
  private finishUndelivered(
    run: CallRun,
    sink: CallerSink,
    cause: UndeliveredRun['cause'],
  ): void {
    if (sink.hasBegun) {
      const reason = cause === 'no-path' ? 'no-endpoint' : cause;
      return this.breakOff(run, sink, reason ?? run.blockedBy ?? 'no-endpoint');
    }
    const {failedAnswer} = run;
    if (failedAnswer) {
      const {status, headers, body} = failedAnswer;
      sink.answer(status, headers, body);
      return run.finish('answered', status);
    }
    const refusal = planRefusal(this.options, this.picker, {
      run,
      cause,
      shutdown: this.shutdown,
    });
    run.finish(refusal.reason, refuseCall(sink, refusal));
  }

  private recordResult(
    run: CallRun,
    endpoint: EndpointEntry,
    result: AttemptResult,
  ): void {
    run.recordResult(endpoint, result);
    // A trial goes on until an attempt may have run.
    if (mayHaveRun(result)) this.options.quarantine.finishTrial(run);
    run.isPermitted = run.isTrial;
    if (result.type === 'escalated') this.escalation.begin(run);
    // The true wait is longer still; records it as a lower bound.
    if (result.type === 'overdue') run.escalation?.begin();
    recordAttempt(this.options, run, {endpoint, result});
  }

  private refuse(call: Call, sink: CallerSink, reason: RefusalReason): void {
    const {shutdown} = this;
    refuseEarly(this.options, call, {sink, reason, shutdown});
  }
}

function mayHaveRun({type}: AttemptResult): boolean {
  return type !== 'not-sent' && type !== 'withdrawn' && type !== 'not-run';
}
