/**
 * Reserves the successor of an attempt whose endpoint is silent.
 *
 * A silent endpoint may go on at any moment, and an answer that has begun is lost
 * to its caller if no other endpoint takes over. So an attempt is given up only
 * once everything that its successor needs is reserved, in the same step.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {RetryBudgets} from '../limits/retry_budgets.ts';
import type {Quarantine} from '../quarantine/quarantine.ts';
import type {CallRelay} from '../reach/call_relay.ts';
import type {BlockReason, CallRun} from './call_run.ts';
import type {EndpointHealth} from './endpoint_health.ts';
import type {EndpointPicker} from './endpoint_picker.ts';
import type {AttemptChoice} from './run_attempt.ts';
import type {Shutdown} from './shutdown.ts';

/** Pause after which an endpoint with open attempts counts as silent, in ms. */
const SILENT_MS = 600;

/**
 * How recently another endpoint must have spoken to take over, in ms: the others
 * may have fallen silent shortly after the first.
 */
const FRESH_MS = 100;

/**
 * Silence after which an answer moves to an endpoint that is not known to be
 * silent, in ms. Before that, it moves only to one that speaks meanwhile.
 */
const UNHEARD_AFTER_MS = 2_000;

export interface HandoverOptions {
  readonly clock: Clock;
  readonly health: Pick<
    EndpointHealth,
    | 'isEjected'
    | 'isFull'
    | 'isUsable'
    | 'isSilent'
    | 'hasSpokenSince'
    | 'recordLeft'
  >;
  readonly quarantine: Pick<Quarantine, 'isFree'>;
  readonly relay: Pick<CallRelay, 'isDue'>;
  readonly picker: Pick<EndpointPicker, 'planNext' | 'record'>;
  readonly budgets: RetryBudgets;
  readonly shutdown: Pick<Shutdown, 'canEnd' | 'isAborted'>;
}

/** An attempt whose endpoint is silent. */
export interface SilentAttempt {
  readonly endpoint: EndpointEntry;
  /** When it last sent anything, on the monotonic clock. */
  readonly silentSince: number;
  /** Whether the caller has received a part of its answer. */
  readonly hasBegun: boolean;
  /** Whether its successor may be or have suspects. */
  readonly isPermitted: boolean;
  /** Whether it has sent anything. */
  readonly hasSpoken: boolean;
  /** Whether it is among the runs of its request already. */
  readonly isCounted: boolean;
}

interface ReserveOptions {
  /** Whether the retry budget was already charged for the successor. */
  readonly isPaid: boolean;
  /** Whether the quarantine has to permit it first; false by default. */
  readonly isWithheld?: boolean;
  readonly isAllowed: (endpoint: EndpointEntry) => boolean;
}

export class Handover {
  constructor(private readonly options: HandoverOptions) {}

  /**
   * Reserves the successor of a silent attempt, or fails with what it lacks. The
   * caller must give up the attempt right away if this succeeds. The successor is
   * `null` if another gateway is to serve the request.
   */
  reserve(
    run: CallRun,
    attempt: SilentAttempt,
  ): Outcome<AttemptChoice | null, BlockReason> {
    const {shutdown, quarantine, relay, health} = this.options;
    const {isRepeatable, route} = run.admitted;
    const runs = run.runs + (attempt.isCounted ? 0 : 1);
    if (!isRepeatable || runs >= route.maxAttempts) return fail('attempts');
    // Nothing is left to lose at a successor that has not spoken yet.
    const isLost = run.isGivenUp && !attempt.hasSpoken && !shutdown.isAborted;
    if (!isLost && !shutdown.canEnd(run)) return fail('stopping');
    if (relay.isDue(run, attempt)) return succeed(null);
    const successor = this.reserveAt(run, {
      // What was charged last was for the silent attempt itself.
      isPaid: false,
      isWithheld:
        attempt.hasBegun && !attempt.isPermitted && !quarantine.isFree(run),
      isAllowed: each => this.canTakeOver(each, attempt),
    });
    // Those that refused it earlier may take it by now.
    const isMissing = !successor.ok && successor.error === 'no-endpoint';
    if (isMissing && attempt.hasBegun) run.tried.clear();
    const {endpoint} = attempt;
    // One that has not spoken since it got its requests may still work on them.
    if (successor.ok && health.isSilent(endpoint, SILENT_MS)) {
      health.recordLeft(endpoint);
    }
    return successor;
  }

  /**
   * Reserves a further successor for an answer whose attempt was given up; the
   * reserved one did not take it.
   */
  reserveAgain(run: CallRun): Outcome<AttemptChoice, BlockReason> {
    const {shutdown, quarantine, health} = this.options;
    if (shutdown.isAborted) return fail('stopping');
    if (run.runs >= run.admitted.route.maxAttempts) return fail('attempts');
    if (!run.isPermitted && !quarantine.isFree(run)) return fail('quarantine');
    const successor = this.reserveAt(run, {
      isPaid: run.isPaid,
      isAllowed: each =>
        !health.isFull(each) &&
        !run.hasEndedAt(each) &&
        // Only another endpoint can confirm an end, an ejected one as well.
        (run.mayHaveEnded || !health.isEjected(each)),
    });
    // The endpoints that were tried may take it by now.
    if (!successor.ok && successor.error === 'no-endpoint') run.tried.clear();
    return successor;
  }

  private reserveAt(
    run: CallRun,
    {isPaid, isWithheld = false, isAllowed}: ReserveOptions,
  ): Outcome<AttemptChoice, BlockReason> {
    const {picker, budgets} = this.options;
    const choice = picker.planNext(run, {isAllowed});
    if (!choice) return fail('no-endpoint');
    // Asked last, so that no trial is open while there is nowhere to go.
    if (isWithheld) return fail('quarantine');
    const budget = budgets.get(run.admitted.service.name);
    if (!isPaid && !budget.tryTake()) return fail('budget');
    picker.record(run, choice);
    return succeed(choice);
  }

  /** Whether an endpoint is a better place for an attempt than a silent one. */
  private canTakeOver(
    endpoint: EndpointEntry,
    {endpoint: silent, silentSince, hasBegun}: SilentAttempt,
  ): boolean {
    const {clock, health} = this.options;
    if (endpoint.id === silent.id) return false;
    if (!hasBegun) return true;
    if (!health.isUsable(endpoint)) return false;
    const now = clock.monotonic();
    const freshSince = Math.max(silentSince, now - FRESH_MS);
    if (health.hasSpokenSince(endpoint, freshSince)) return true;
    const silenceMs = now - silentSince;
    return (
      silenceMs >= UNHEARD_AFTER_MS && !health.isSilent(endpoint, SILENT_MS)
    );
  }
}
