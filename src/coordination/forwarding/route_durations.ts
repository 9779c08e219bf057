/** Estimates how long requests take, from the recent ones of their route. */
import type {CallRun} from './call_run.ts';

/** The number of recent requests of a route that are kept. */
const MAX_SAMPLES = 32;

interface Sample {
  readonly ms: number;
  readonly outputTokens: number;
}

/** The recent requests of each route. */
export class RouteDurations {
  private readonly samples = new Map<string, Sample[]>();

  /** Records the time that a request took. */
  record({admitted, call}: CallRun, ms: number): void {
    const {name} = admitted.route;
    const known = this.samples.get(name) ?? [];
    known.push({ms, outputTokens: call.facts.maxOutputTokens});
    if (known.length > MAX_SAMPLES) known.shift();
    this.samples.set(name, known);
  }

  /**
   * Estimates the time that a request takes, in ms: that of the longest recent
   * one, scaled up if this one may have a longer output. Without a recent one it
   * is unknown, so `Infinity`.
   */
  estimate({admitted, call}: CallRun): number {
    const {maxOutputTokens} = call.facts;
    const known = this.samples.get(admitted.route.name) ?? [];
    if (known.length === 0) return Infinity;
    return known.reduce((longest, {ms, outputTokens}) => {
      const scale = maxOutputTokens / Math.max(1, outputTokens);
      return Math.max(longest, ms * Math.max(1, scale));
    }, 0);
  }
}
