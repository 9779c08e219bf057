/**
 * How often the endpoints of each service ended lately, for any reason.
 *
 * Each end adds the share of the running endpoints that it was: the sum over a
 * time is the expected number of ends of a single endpoint in that time (the
 * Nelson-Aalen estimator).
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {ObservedRate} from './compute_chance.ts';

/** How far back ends count, in ms. */
const WINDOW_MS = 20_000;

/** The most ends that are retained. */
const MAX_ENDS = 256;

/** Ends that are assumed beside those that were seen. */
const ASSUMED_ENDS = 0.5;

/** One start of an endpoint, as a key. */
export function createStartKey({
  id,
  startedAtMs,
}: {
  readonly id: string;
  readonly startedAtMs: number;
}): string {
  return `${id}/${startedAtMs}`;
}

/** Lists the starts of a service's endpoints that are taken to run. */
export function listRunningStarts(
  endpoints: readonly EndpointEntry[],
  service: string,
): string[] {
  return endpoints
    .filter(each => each.service === service && each.state !== 'gone')
    .filter(({silent}) => !silent)
    .map(createStartKey);
}

export interface EndpointEndsOptions {
  readonly clock: Clock;
  /** Lists the starts of a service's endpoints that are taken to run. */
  readonly listStarts?: (service: string) => readonly string[];
}

interface End {
  readonly service: string;
  readonly atMs: number;
  /** The share of the running endpoints that it was. */
  readonly share: number;
}

export class EndpointEnds {
  private readonly ends = new Map<string, End>();

  constructor(private readonly options: EndpointEndsOptions) {}

  /** Records the end of one start of an endpoint, once. */
  record(service: string, start: string, atMs: number): void {
    if (this.ends.has(start)) return;
    const share = 1 / (this.countRunning(service, start) + 1);
    this.ends.set(start, {service, atMs, share});
    if (this.ends.size <= MAX_ENDS) return;
    const [oldest] = this.ends.keys();
    if (oldest !== undefined) this.ends.delete(oldest);
  }

  /** Forgets an end of an endpoint that runs after all. */
  remove(start: string): void {
    this.ends.delete(start);
  }

  /**
   * Returns how often a running endpoint of a service ended, without a number of
   * ends that are to be explained.
   *
   * @param isIgnored Whether an end is explained otherwise.
   */
  observeRate(
    service: string,
    explained: number,
    isIgnored: (start: string) => boolean,
  ): ObservedRate {
    const oldest = this.options.clock.monotonic() - WINDOW_MS;
    const shares = [...this.ends]
      .filter(([, end]) => end.service === service && end.atMs >= oldest)
      .filter(([start]) => !isIgnored(start))
      .map(([, {share}]) => share);
    const mean =
      shares.length > 0
        ? shares.reduce((sum, each) => sum + each, 0) / shares.length
        : 1 / Math.max(1, this.countRunning(service));
    const others = Math.max(0, shares.length - explained);
    return {events: others + ASSUMED_ENDS, inMs: WINDOW_MS / mean};
  }

  /** Drops ends that no longer count. */
  expire(): void {
    const oldest = this.options.clock.monotonic() - WINDOW_MS;
    for (const [start, {atMs}] of this.ends) {
      if (atMs < oldest) this.ends.delete(start);
    }
  }

  /** Counts the endpoints that run beside one. */
  private countRunning(service: string, ended?: string): number {
    const starts = this.options.listStarts?.(service) ?? [];
    return starts.filter(each => each !== ended && !this.ends.has(each)).length;
  }
}
