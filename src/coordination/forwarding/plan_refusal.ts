/** Plans the refusal of a request that no attempt completed. */
import type {SelectionOptions} from '../selection/endpoint_rules.ts';
import type {AdmissionHooks} from '../fair_admission/admission_hooks.ts';
import type {CallRun} from './call_run.ts';
import type {EndpointPicker} from './endpoint_picker.ts';
import type {RefusalReason, RefuseOptions} from './refuse.ts';
import type {Shutdown} from './shutdown.ts';

/** Retry-After of a refused request: a minimum plus random jitter, in ms. */
const RETRY_AFTER_MIN_MS = 300;
const RETRY_AFTER_JITTER_MS = 700;

export interface PlanRefusalOptions extends AdmissionHooks {
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

export interface UndeliveredRun {
  readonly run: CallRun;
  /** Whether its deadline has passed, or the gateway shuts down or is cut off. */
  readonly cause: 'deadline' | 'stopping' | 'no-path' | null;
  readonly shutdown: Pick<Shutdown, 'retryAfterMs'>;
}

/** Plans why a request is refused and when its caller should retry. */
export function planRefusal(
  options: PlanRefusalOptions & Pick<SelectionOptions, 'rules'>,
  picker: EndpointPicker,
  {run, cause, shutdown}: UndeliveredRun,
): RefuseOptions {
  if (cause === 'no-path' && run.runs === 0) {
    return refuseForNow(options, 'no-path');
  }
  if (run.runs > 0) {
    // It may have run, so its caller is not asked to retry.
    return {reason: cause === 'deadline' ? 'deadline' : 'broken'};
  }
  if (cause === 'stopping') {
    return {reason: 'stopping', retryAfterMs: shutdown.retryAfterMs};
  }
  // A retry at another gateway would be refused as well.
  if (run.quarantine === 'condemned') return {reason: 'quarantined'};
  if (run.quarantine === 'suspected') return refuseForNow(options, 'suspected');
  const backoffMs = picker.findBackoffMs(run);
  if (cause === 'deadline' || backoffMs !== null) {
    const reason = cause === 'deadline' ? 'deadline-not-run' : 'quiet';
    const retryAfterMs =
      (backoffMs ?? RETRY_AFTER_MIN_MS) + drawJitterMs(options);
    return {reason, retryAfterMs};
  }
  const returnMs = picker.planReturnMs(run);
  if (returnMs !== null) return {reason: 'limited', retryAfterMs: returnMs};
  if (run.notRun > 0) {
    const roomMs = options.admission?.recordNoRoom(run);
    if (roomMs !== undefined) return {reason: 'no-room', retryAfterMs: roomMs};
    return refuseForNow(options, 'no-room');
  }
  const reason = run.sends > 0 ? 'not-run' : 'no-endpoint';
  return refuseForNow(options, options.rules.explainRefusal(run) ?? reason);
}

/** Plans the refusal of a request that is not admitted. */
export function planEarlyRefusal(
  options: PlanRefusalOptions,
  reason: RefusalReason,
  {retryAfterMs}: Pick<Shutdown, 'retryAfterMs'>,
): RefuseOptions {
  if (reason === 'stopping') return {reason, retryAfterMs};
  const isForNow = reason === 'no-configuration' || reason === 'unconfirmed';
  return isForNow ? refuseForNow(options, reason) : {reason};
}

/** Draws when a caller should retry if nothing tells it, in ms from now. */
function drawRetryAfterMs(options: PlanRefusalOptions): number {
  return RETRY_AFTER_MIN_MS + drawJitterMs(options);
}

/** Draws a delay that spreads requests that wait for the same moment, in ms. */
export function drawJitterMs({random}: PlanRefusalOptions): number {
  return random() * RETRY_AFTER_JITTER_MS;
}

function refuseForNow(
  options: PlanRefusalOptions,
  reason: RefusalReason,
): RefuseOptions {
  return {reason, retryAfterMs: drawRetryAfterMs(options)};
}
