/**
 * Tracks the prefill backlog that this gateway causes at each engine.
 *
 * An engine prefills one prompt after the other, so a request waits for the
 * backlog in front of it. The prefill rate depends on the model and is
 * estimated from answers of engines that had no backlog.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {PrefillPlan} from './plan_prefill.ts';
import {PrefillRateEstimator, type PrefillRate} from './prefill_rate.ts';

/** The prefill of one attempt whose answer has not begun. */
export interface OpenPrefill extends Disposable {
  /** Records that the answer began. */
  begin(): void;
}

export interface StartPrefillOptions {
  readonly endpoint: EndpointEntry;
  readonly service: string;
  /** `null` when the caller chose it. */
  readonly model: string | null;
  /** The prefill of this attempt. */
  readonly plan: PrefillPlan;
  /** The backlog in front of the attempt, in ms. */
  readonly backlogMs: number;
}

type EndpointStart = Pick<EndpointEntry, 'id' | 'startedAtMs'>;

interface Prefill {
  readonly ms: number;
}

export class PrefillBacklog {
  private readonly estimators = new Map<string, PrefillRateEstimator>();
  private readonly open = new Map<string, Set<Prefill>>();

  constructor(private readonly clock: Clock) {}

  /** Returns the estimated prefill rate of a model. */
  getRate(service: string, model: string | null): PrefillRate {
    return this.findEstimator(service, model).getRate();
  }

  /** Adds a prefill to the backlog; dispose the result to remove it. */
  start(options: StartPrefillOptions): OpenPrefill {
    const {endpoint, service, model, plan, backlogMs} = options;
    const key = `${endpoint.id}\n${endpoint.startedAtMs}`;
    const prefills = this.open.get(key) ?? new Set();
    this.open.set(key, prefills);
    const isAlone = prefills.size === 0 && backlogMs === 0;
    const startedAt = this.clock.monotonic();
    const prefill = {ms: plan.ms};
    prefills.add(prefill);
    const end = () => {
      if (!prefills.delete(prefill)) return false;
      if (prefills.size === 0) this.open.delete(key);
      return true;
    };
    return {
      begin: () => {
        if (!end() || !isAlone) return;
        const ms = this.clock.monotonic() - startedAt;
        this.findEstimator(service, model).record(plan.uncachedTokens, ms);
      },
      [Symbol.dispose]: () => void end(),
    };
  }

  /** The backlog that this gateway has at an engine, in ms. */
  getPendingMs({id, startedAtMs}: EndpointStart): number {
    const prefills = this.open.get(`${id}\n${startedAtMs}`);
    if (!prefills) return 0;
    let sum = 0;
    for (const {ms} of prefills) sum += ms;
    return sum;
  }

  private findEstimator(
    service: string,
    model: string | null,
  ): PrefillRateEstimator {
    const key = `${service}\n${model}`;
    const known = this.estimators.get(key);
    if (known) return known;
    const estimator = new PrefillRateEstimator();
    this.estimators.set(key, estimator);
    return estimator;
  }
}
