/**
 * Selects endpoints by their expected time to first token.
 *
 * Each request scores a few candidates: endpoints that probably cache the
 * prompt's prefix, and a random sample. A score combines the endpoint's own
 * latency, its load corrected for the age of the load report, the cached
 * share of the prompt, the round-trip time and a transfer penalty for bytes
 * that cross regions.
 */
import type {PoolMeasure} from '../limits/measure_capacity.ts';
import type {Endpoint} from '../membership/endpoint_table.ts';
import type {SpeedEstimate} from './completion_plan.ts';
import {
  EndpointDirectory,
  type EndpointDirectoryOptions,
} from './endpoint_directory.ts';
import {
  listUsable,
  type EndpointGroup,
  type GroupMember,
} from './endpoint_group.ts';
import type {
  EndpointChoice,
  EndpointRouter,
  RoutedAttempt,
  RouteOptions,
} from './endpoint_router.ts';
import {hashPrefixes, PrefixAffinity} from './prefix_affinity.ts';

export interface EndpointRouterOptions extends EndpointDirectoryOptions {
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** Penalty for each kilobyte sent to another region, in milliseconds. */
  readonly slowLinkMsPerKilobyte?: number;
}

/** A router that also reports its estimates of speed and capacity. */
export interface LearningEndpointRouter extends EndpointRouter {
  /** Estimates the current speed of a version. */
  estimateSpeed(pool: string, version?: string): SpeedEstimate;
  /** Lists versions that at least one endpoint accepts requests for. */
  listServed(): ReadonlySet<string>;
  /** Sums a pool's endpoints, slots, and slots not used by other gateways. */
  measurePool(pool: string): PoolMeasure;
  /** Prompt prefix caches of the engines, keyed as by `hashPrefixes`. */
  readonly affinity: PrefixAffinity;
}

/** Endpoints sampled at random for one selection. */
const RANDOM_CANDIDATES = 5;

/** The time to first token assumed before the first measurement. */
const INITIAL_FIRST_TOKEN_MS = 200;

/** The weight of one sample in the moving average of a baseline. */
const BASELINE_WEIGHT = 0.05;

/** The time between tokens assumed before the first measurement. */
const INITIAL_TOKEN_GAP_MS = 30;

/** Round-trip times: same data centre, same region, another region. */
const DISTANCE_MS = [0, 3, 60] as const;

/** The share of the time to first token that a fully cached prompt saves. */
const CACHE_SAVING = 0.7;

/** The penalty for each kilobyte to another region, unless configured. */
const DEFAULT_SLOW_LINK_MS_PER_KILOBYTE = 5;

interface ScoredCandidate {
  readonly member: GroupMember;
  readonly scoreMs: number;
  readonly load: number;
  readonly cached: number;
}

/** Creates a router without any measurements. */
export function createEndpointRouter(
  options: EndpointRouterOptions,
): LearningEndpointRouter {
  return new Router(options);
}

class Router implements LearningEndpointRouter {
  readonly affinity: PrefixAffinity;
  private readonly directory: EndpointDirectory;

  constructor(private readonly options: EndpointRouterOptions) {
    this.affinity = new PrefixAffinity(options);
    this.directory = new EndpointDirectory(options);
  }

  select(route: RouteOptions): EndpointChoice | null {
    const group = this.directory.findGroup(route);
    if (!group) return null;
    const isNotAvoided = (member: GroupMember) =>
      !route.avoided?.has(member.stats.endpoint.name);
    const near = listUsable(group.near).filter(isNotAvoided);
    const far = listUsable(group.far).filter(isNotAvoided);
    const cached =
      route.prompt === undefined
        ? new Map<string, number>()
        : this.affinity.estimateCachedShares(hashPrefixes(route.prompt));
    const scored = this.listCandidates(near, far, cached)
      .map(member => this.score(member, group, {route, cached}))
      .sort((a, b) => a.scoreMs - b.scoreMs);
    const [best, ...others] = scored;
    if (!best) return null;
    return {
      endpoint: best.member.stats.endpoint,
      reason: describeScore(best),
      rejected: others.map(each => ({
        endpoint: each.member.stats.endpoint.name,
        reason: describeScore(each),
      })),
    };
  }

  begin(endpoint: Endpoint, route: RouteOptions): RoutedAttempt {
    const {clock} = this.options;
    const {stats, ejection} = this.directory.getMember(endpoint);
    const baseline = this.directory.getBaseline(route);
    const load = stats.estimateLoad();
    const since = clock.monotonic();
    stats.addInFlight(1);
    if (route.prompt !== undefined) {
      this.affinity.record(endpoint.name, hashPrefixes(route.prompt).hashes);
    }
    let ended = false;
    let silent = false;
    return {
      recordFirstToken: ms => {
        const {firstTokenMs} = baseline;
        const idleMs = stats.recordFirstToken(ms, load, firstTokenMs);
        baseline.firstTokenMs = updateMean(firstTokenMs, idleMs);
      },
      recordSilence: () => {
        if (!silent) ejection.record('failed');
        silent = true;
      },
      recordEnd: (result, tokenGapMs) => {
        if (!silent || result !== 'failed') ejection.record(result);
        if (tokenGapMs !== undefined) {
          baseline.tokenGapMs = updateMean(baseline.tokenGapMs, tokenGapMs);
        }
        if (result === 'answered') {
          stats.recordHold(clock.monotonic() - since);
        }
      },
      [Symbol.dispose]: () => {
        if (ended) return;
        ended = true;
        stats.addInFlight(-1);
      },
    };
  }

  estimateSpeed(pool: string, version?: string): SpeedEstimate {
    const group = this.directory.findGroup({pool, version});
    const usable = group ? listUsable(group.near) : [];
    const members = usable.length > 0 ? usable : listUsable(group?.far ?? []);
    if (!group || members.length === 0) {
      return {firstTokenMs: Infinity, tokenGapMs: Infinity};
    }
    const route = {pool, version};
    const best = this.drawRandom(members, RANDOM_CANDIDATES)
      .map(member => this.score(member, group, {route, cached: new Map()}))
      .reduce((a, b) => (b.scoreMs < a.scoreMs ? b : a));
    return {
      firstTokenMs: best.scoreMs,
      tokenGapMs: group.baseline.tokenGapMs ?? INITIAL_TOKEN_GAP_MS,
    };
  }

  listServed(): ReadonlySet<string> {
    return this.directory.listServed();
  }

  measurePool(pool: string): PoolMeasure {
    return this.directory.measurePool(pool);
  }

  /**
   * Lists the endpoints to score: a random sample of the own region, two of
   * other regions if all of that sample are saturated, and those of the own
   * region that probably cache the prompt.
   */
  private listCandidates(
    near: readonly GroupMember[],
    far: readonly GroupMember[],
    cached: ReadonlyMap<string, number>,
  ): GroupMember[] {
    const candidates = new Set(this.drawRandom(near, RANDOM_CANDIDATES));
    const isSaturated = [...candidates].every(
      ({stats}) => stats.estimateLoad() >= stats.endpoint.slots,
    );
    if (isSaturated) {
      for (const member of this.drawRandom(far, 2)) candidates.add(member);
    }
    if (cached.size > 0) {
      for (const member of near) {
        if (cached.has(member.stats.endpoint.name)) candidates.add(member);
      }
    }
    return [...candidates];
  }

  private drawRandom(
    members: readonly GroupMember[],
    count: number,
  ): GroupMember[] {
    if (members.length <= count) return [...members];
    const drawn: GroupMember[] = [];
    while (drawn.length < count) {
      const index = Math.floor(this.options.random() * members.length);
      const member = members[index];
      if (member && !drawn.includes(member)) drawn.push(member);
    }
    return drawn;
  }

  private score(
    member: GroupMember,
    group: EndpointGroup,
    {route, cached}: {route: RouteOptions; cached: ReadonlyMap<string, number>},
  ): ScoredCandidate {
    const {stats, ejection, distance} = member;
    const {name} = stats.endpoint;
    const load = stats.estimateLoad();
    const share = cached.get(name) ?? 0;
    const baselineMs = group.baseline.firstTokenMs ?? INITIAL_FIRST_TOKEN_MS;
    const serviceMs =
      baselineMs *
      stats.estimateRelativeLatency() *
      stats.estimateLoadSlowdown(load) *
      (1 - CACHE_SAVING * share);
    const waitMs = stats.estimateQueueMs(load);
    const transferMs =
      distance === 2 ? this.computeTransferPenaltyMs(route.bytes) : 0;
    const scoreMs =
      (serviceMs + waitMs) / ejection.share +
      DISTANCE_MS[distance] +
      transferMs;
    return {member, scoreMs, load, cached: share};
  }

  private computeTransferPenaltyMs(bytes = 0): number {
    const msPerKilobyte =
      this.options.slowLinkMsPerKilobyte ?? DEFAULT_SLOW_LINK_MS_PER_KILOBYTE;
    return (bytes / 1_000) * msPerKilobyte;
  }
}

function describeScore({scoreMs, load, cached}: ScoredCandidate): string {
  const parts = [`${Math.round(scoreMs)} ms expected`, `load ${load}`];
  if (cached > 0) parts.push(`${Math.round(cached * 100)} in 100 cached`);
  return parts.join(', ');
}

function updateMean(mean: number | null, sample: number): number {
  return mean === null ? sample : mean + (sample - mean) * BASELINE_WEIGHT;
}
