/** Records what an attempt shows of the speed of its endpoint. */
import type {Clock} from '../../protocol/clock.ts';
import type {AttemptOutcome} from '../forwarding/call.ts';
import type {CallRun} from '../forwarding/call_run.ts';
import type {EndpointHealth} from '../forwarding/endpoint_health.ts';
import type {PrefillBacklog} from '../forwarding/prefill_backlog.ts';
import {DEFAULT_RATE} from '../forwarding/prefill_rate.ts';
import type {AttemptChoice} from '../forwarding/run_attempt.ts';
import type {EndpointSpeeds} from './endpoint_speeds.ts';

/**
 * The largest backlog, as a share of the prefill of the attempt itself, with
 * which its time to begin says how fast the engine is.
 */
const MAX_BACKLOG_SHARE = 0.25;

export interface RecordSpeedOptions {
  readonly speeds: EndpointSpeeds;
  readonly health: Pick<EndpointHealth, 'countOpen'>;
  readonly prefillBacklog: Pick<PrefillBacklog, 'getRate'>;
  readonly clock: Pick<Clock, 'monotonic'>;
}

interface SpeedSample {
  readonly choice: AttemptChoice;
  readonly outcome: AttemptOutcome;
}

/** Records the load that an answer reported, and the time until it began. */
export function recordSpeed(
  options: RecordSpeedOptions,
  run: CallRun,
  {choice, outcome}: SpeedSample,
): void {
  if (outcome.type !== 'answer' && outcome.type !== 'not-run') return;
  const {speeds, health, prefillBacklog} = options;
  const {endpoint, model, plan, backlogMs} = choice;
  const {service, route} = run.admitted;
  const {load} =
    outcome.type === 'answer' ? outcome.answer.facts : outcome.facts;
  const open = health.countOpen(endpoint);
  if (load) speeds.recordLoad(endpoint, load, open);
  if (outcome.type !== 'answer' || run.beganMs === null) return;
  const {status, facts} = outcome.answer;
  const isGood = status >= 200 && status < 300 && facts.isSigned;
  if (!isGood || !speeds.isReported(service.name)) return;
  const rate = prefillBacklog.getRate(service.name, model);
  const isRateKnown = rate !== DEFAULT_RATE;
  if (service.engine && !isRateKnown) return;
  speeds.recordBegin(endpoint, {
    ms: run.beganMs,
    expectedMs: service.engine ? backlogMs + plan.ms + rate.fixedMs : null,
    route: `${service.name}\n${route.name}`,
    hasWaited:
      (load?.waiting ?? 0) > 0 ||
      open > Math.max(1, endpoint.slots) ||
      (service.engine !== null && backlogMs > plan.ms * MAX_BACKLOG_SHARE),
  });
}
