/** Decides which answers of the smallest model are escalated to the largest. */
import type {Clock} from '../../protocol/clock.ts';
import type {RetryBudgets} from '../limits/retry_budgets.ts';
import type {Quarantine} from '../quarantine/quarantine.ts';
import type {CallRun} from './call_run.ts';
import {EscalationThreshold, hasLarger, isUnsure} from './choose_model.ts';
import type {EndpointPicker} from './endpoint_picker.ts';
import type {AttemptChoice} from './run_attempt.ts';
import type {Shutdown} from './shutdown.ts';

/** Retries that an escalation must leave in the budget for failed requests. */
const ESCALATION_RESERVE = 1;

/**
 * Share of the objective after which a request is not escalated any more: the
 * smallest model itself was slow, and a larger one would begin too late.
 */
const ESCALATE_BY_SHARE = 0.6;

/** Share of the objective within which a larger model must begin to answer. */
const BEGIN_BY_SHARE = 0.75;

export interface EscalationOptions {
  readonly clock: Clock;
  readonly picker: Pick<EndpointPicker, 'plan'>;
  readonly quarantine: Pick<Quarantine, 'isFree'>;
  readonly budgets: RetryBudgets;
  readonly shutdown: Pick<Shutdown, 'canEnd'>;
}

export class Escalation {
  private readonly threshold: EscalationThreshold;

  constructor(private readonly options: EscalationOptions) {
    this.threshold = new EscalationThreshold(options.clock);
  }

  /** Decides whether to escalate an answer of this confidence. */
  decide(
    run: CallRun,
    {endpoint, model}: AttemptChoice,
    confidence: number,
  ): boolean {
    const {picker, quarantine, shutdown} = this.options;
    const {models} = run.admitted.route;
    if (run.hasEscalated || !hasLarger(models, model)) return false;
    if (!this.isSoonEnough(run) || !isUnsure(confidence)) return false;
    if (!shutdown.canEnd(run)) return false;
    // Its first answer has not yet shown whether it crashes its engine.
    if (!quarantine.isFree(run)) return false;
    // Does not hold back a ready answer when no other endpoint can be asked.
    const largest = picker.plan(run, models.at(-1) ?? null, {
      isAllowed: each => each !== endpoint,
    });
    if (!largest || !this.canBeginInTime(run, largest)) return false;
    const uncachedShare = computeUncachedShare(run, largest);
    if (!this.threshold.isBelow(confidence, uncachedShare)) return false;
    run.largestPrefillMs = largest.plan.ms;
    return this.takeBudget(run);
  }

  /** Records that an answer is escalated. */
  begin(run: CallRun): void {
    run.escalatedMs = Math.round(this.measureAgeMs(run));
    const {objectiveMs} = run.admitted.route;
    run.escalation = this.threshold.open(objectiveMs, run.largestPrefillMs);
  }

  /** Whether an attempt is expected to begin its answer early enough. */
  private canBeginInTime(run: CallRun, {expectedMs}: AttemptChoice): boolean {
    const {objectiveMs} = run.admitted.route;
    return this.measureAgeMs(run) + expectedMs < objectiveMs * BEGIN_BY_SHARE;
  }

  /** Whether enough of the objective is left to escalate. */
  private isSoonEnough(run: CallRun): boolean {
    const {objectiveMs} = run.admitted.route;
    return this.measureAgeMs(run) < objectiveMs * ESCALATE_BY_SHARE;
  }

  /** The time since the request was received, in ms. */
  private measureAgeMs({call}: CallRun): number {
    return this.options.clock.monotonic() - call.receivedAt;
  }

  /** Charges the retry budget for an escalation; false if not allowed. */
  private takeBudget({admitted, runs}: CallRun): boolean {
    const {isRepeatable, route, service} = admitted;
    if (!isRepeatable || runs + 1 >= route.maxAttempts) return false;
    return this.options.budgets.get(service.name).tryTake(ESCALATION_RESERVE);
  }
}

/** The share of the prompt that an attempt has to prefill. */
function computeUncachedShare(run: CallRun, {plan}: AttemptChoice): number {
  return plan.uncachedTokens / Math.max(1, run.call.facts.promptTokens);
}
