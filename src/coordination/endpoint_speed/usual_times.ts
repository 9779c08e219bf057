/** Estimates the usual time until answers of a route begin. */

/** The part of its deviation by which a sample moves the estimate. */
const GAIN = 0.05;

/** The weight of a sample above the estimate, as that of a single endpoint. */
const LONG_WEIGHT = 0.5;

/** The fewest samples for an estimate. */
const MIN_SAMPLES = 8;

/** The most that one sample counts for, in units of the logarithm. */
const MAX_DEVIATION = 1;

interface UsualTime {
  log: number;
  samples: number;
}

/** The usual times of routes. Their number is that of the configured routes. */
export class UsualTimes {
  private readonly times = new Map<string, UsualTime>();

  /**
   * Adds a sample of a route, and returns the estimate from those before, in
   * ms; `null` while there are too few.
   */
  record(route: string, ms: number): number | null {
    const log = Math.log(Math.max(1, ms));
    const known = this.times.get(route);
    if (!known) {
      this.times.set(route, {log, samples: 1});
      return null;
    }
    const usualMs = known.samples < MIN_SAMPLES ? null : Math.exp(known.log);
    const deviation = log - known.log;
    const bounded = Math.max(
      -MAX_DEVIATION,
      Math.min(MAX_DEVIATION, deviation),
    );
    known.samples++;
    const gain = Math.max(GAIN, 1 / known.samples);
    known.log += gain * bounded * (deviation > 0 ? LONG_WEIGHT : 1);
    return usualMs;
  }
}
