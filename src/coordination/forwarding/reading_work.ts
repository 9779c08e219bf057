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
import type {ReadingPlan} from './plan_reading.ts';
import {PaceLearner, type ReadingPace} from './reading_pace.ts';

/** The prompt of one attempt while it waits for its answer to begin. */
export interface OpenReading extends Disposable {
  /** Notes that the answer began. */
  begin(): void;
}

export interface StartReadingOptions {
  readonly endpoint: EndpointEntry;
  readonly service: string;
  /** `null` when the caller chose it. */
  readonly model: string | null;
  /** What the engine does before the answer begins. */
  readonly plan: ReadingPlan;
  /** What others have the engine read before it, in ms. */
  readonly aheadMs: number;
}

type EndpointStart = Pick<EndpointEntry, 'id' | 'startedAtMs'>;

interface Reading {
  readonly ms: number;
}

export class ReadingWork {
  private readonly learners = new Map<string, PaceLearner>();
  private readonly open = new Map<string, Set<Reading>>();

  constructor(private readonly clock: Clock) {}

  /** How long an engine takes to begin an answer of a model. */
  getPace(service: string, model: string | null): ReadingPace {
    return this.findLearner(service, model).getPace();
  }

  /** Notes that an engine is to read a prompt; dispose it when that ends. */
  start(options: StartReadingOptions): OpenReading {
    const {endpoint, service, model, plan, aheadMs} = options;
    const key = `${endpoint.id}\n${endpoint.startedAtMs}`;
    const readings = this.open.get(key) ?? new Set();
    this.open.set(key, readings);
    const isAlone = readings.size === 0 && aheadMs === 0;
    const startedAt = this.clock.monotonic();
    const reading = {ms: plan.ms};
    readings.add(reading);
    const end = () => {
      if (!readings.delete(reading)) return false;
      if (readings.size === 0) this.open.delete(key);
      return true;
    };
    return {
      begin: () => {
        if (!end() || !isAlone) return;
        const ms = this.clock.monotonic() - startedAt;
        this.findLearner(service, model).record(plan.unreadTokens, ms);
      },
      [Symbol.dispose]: () => void end(),
    };
  }

  /** What this gateway has an engine read, in ms. */
  getPendingMs({id, startedAtMs}: EndpointStart): number {
    const readings = this.open.get(`${id}\n${startedAtMs}`);
    if (!readings) return 0;
    let sum = 0;
    for (const {ms} of readings) sum += ms;
    return sum;
  }

  private findLearner(service: string, model: string | null): PaceLearner {
    const key = `${service}\n${model}`;
    const known = this.learners.get(key);
    if (known) return known;
    const learner = new PaceLearner();
    this.learners.set(key, learner);
    return learner;
  }
}
