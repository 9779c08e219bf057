/**
 * Estimates how long engines still read prompts before they can begin the next
 * answer.
 *
 * An engine reads one prompt after the other, so a request waits for those
 * before it. How long a token takes depends on the model and is learned from
 * how soon answers begin at engines that had nothing else to read.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {PrefillPlan} from './plan_reading.ts';
import {PrefillRateEstimator, type PrefillRate} from './reading_pace.ts';

/** The prompt of one attempt while it waits for its answer to begin. */
export interface OpenPrefill extends Disposable {
  /** Notes that the answer began. */
  begin(): void;
}

export interface StartPrefillOptions {
  readonly endpoint: EndpointEntry;
  readonly service: string;
  /** `null` when the caller chose it. */
  readonly model: string | null;
  /** What the engine does before the answer begins. */
  readonly plan: PrefillPlan;
  /** What others have the engine read before it, in ms. */
  readonly backlogMs: number;
}

type EndpointStart = Pick<EndpointEntry, 'id' | 'startedAtMs'>;

interface Prefill {
  readonly ms: number;
}

export class ReadingWork {
  private readonly estimators = new Map<string, PrefillRateEstimator>();
  private readonly open = new Map<string, Set<Prefill>>();

  constructor(private readonly clock: Clock) {}

  /** How long an engine takes to begin an answer of a model. */
  getRate(service: string, model: string | null): PrefillRate {
    return this.findEstimator(service, model).getRate();
  }

  /** Notes that an engine is to read a prompt; dispose it when that ends. */
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

  /** What this gateway has an engine read, in ms. */
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
