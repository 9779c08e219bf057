/** Estimates how long requests take, from the recent ones of their route. */
import type {CallRun} from './call_run.ts';

/** The number of recent requests of a route that are kept. */
const MAX_SAMPLES = 32;

/** The share of the recent requests that may take longer than estimated. */
const LONGER_SHARE = 0.1;

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
   * Estimates the time that a request takes, in ms: what nearly all recent ones
   * took, scaled up if this one may have a longer output. Without a recent one
   * it is unknown, so `Infinity`.
   */
  estimate({admitted, call}: CallRun): number {
    const {maxOutputTokens} = call.facts;
    const known = this.samples.get(admitted.route.name) ?? [];
    const durations = known
      .map(({ms, outputTokens}) => {
        const scale = maxOutputTokens / Math.max(1, outputTokens);
        return ms * Math.max(1, scale);
      })
      .sort((a, b) => b - a);
    return durations[Math.floor(durations.length * LONGER_SHARE)] ?? Infinity;
  }

  /**
   * Estimates the time that the next attempt takes, in ms. One that resumes an
   * answer needs no time for the part that the caller has.
   */
  estimateLeft(run: CallRun): number {
    const wholeMs = this.estimate(run);
    const relayedMs = (run.lastOutputMs ?? 0) - (run.firstMs ?? 0);
    // An answer that outlasted the recent ones may last as long again.
    return relayedMs < wholeMs ? wholeMs - relayedMs : wholeMs;
  }
}
