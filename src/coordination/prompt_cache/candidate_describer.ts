/** Samples the endpoints for a request and describes what is known of them. */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Engine} from '../../protocol/route_table.ts';
import type {EndpointSpeeds} from '../endpoint_speed/endpoint_speeds.ts';
import type {CallRun} from '../forwarding/call_run.ts';
import type {EndpointCandidate} from '../forwarding/choose_endpoint.ts';
import {drawEndpoints} from '../forwarding/draw_endpoints.ts';
import type {EndpointHealth} from '../forwarding/endpoint_health.ts';
import {computeShare} from '../forwarding/hash.ts';
import {planPrefill} from '../forwarding/plan_prefill.ts';
import type {PrefillBacklog} from '../forwarding/prefill_backlog.ts';
import {PrefixCacheTracker} from './prefix_cache_tracker.ts';
import type {AttemptChoice} from '../forwarding/run_attempt.ts';
import type {GatewayView} from '../gateway/gateway_view.ts';
import {PrefixWeigher, type PrefixLookup} from './prefix_weigher.ts';

/** Share of other gateways' reported prefill backlog assumed still pending. */
const OTHER_BACKLOG_WEIGHT = 0.8;

/**
 * The probability that the cache owner has a prompt prefix that this gateway
 * did not send to it.
 */
const CACHE_OWNER_PROBABILITY = 0.8;

/**
 * The fewest endpoints of a region that cache the prompt prefixes of its callers
 * among themselves. With fewer, a prefix is cached once for all regions.
 */
const MIN_REGION_ENDPOINTS = 8;

export interface CandidateDescriberOptions {
  readonly view: GatewayView;
  readonly health: EndpointHealth;
  readonly speeds: EndpointSpeeds;
  readonly prefillBacklog: PrefillBacklog;
  readonly clock: Clock;
  /**
   * Whether the savings of cached prompt prefixes are weighed against the wait
   * at engines; false by default.
   */
  readonly weighsCachedPrefixes?: boolean;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly region: string;
  readonly dataCentre: string;
  /** The region of a data centre; `null` when it is unknown. */
  readonly findRegion: (dataCentre: string) => string | null;
}

export class CandidateDescriber {
  private readonly prefixCache: PrefixCacheTracker;
  private readonly weigher: PrefixWeigher;

  constructor(private readonly options: CandidateDescriberOptions) {
    this.prefixCache = new PrefixCacheTracker(options.clock);
    this.weigher = new PrefixWeigher(options);
  }

  /** Records that an attempt will be made, which caches its prompt prefix. */
  record(run: CallRun, choice: AttemptChoice): void {
    if (this.findWeighedEngine(run)) return this.weigher.record(run, choice);
    const {sharedPrefixId} = run;
    if (sharedPrefixId === null) return;
    this.prefixCache.record(choice.endpoint, choice.model, sharedPrefixId);
  }

  /** Samples endpoints for a request and adds what is known of their load. */
  describe(
    run: CallRun,
    model: string | null,
    endpoints: readonly EndpointEntry[],
  ): EndpointCandidate[] {
    const {dataCentre, health, random} = this.options;
    const engine = this.findWeighedEngine(run);
    const prefixes = engine
      ? this.weigher.find({run, engine, model, endpoints})
      : this.findShared(run, model, endpoints);
    const drawn = drawEndpoints(endpoints, {
      dataCentre,
      hasCachedPrompt: endpoint => prefixes.isHolder(endpoint),
      isUsable: endpoint => health.isUsable(endpoint),
      random,
    });
    return drawn.map(endpoint =>
      this.describeCandidate(run, endpoint, prefixes),
    );
  }

  /** The engine of a service whose cached prefixes are weighed; else `null`. */
  private findWeighedEngine({admitted}: CallRun): Engine | null {
    const {weighsCachedPrefixes = false} = this.options;
    return weighsCachedPrefixes ? admitted.service.engine : null;
  }

  /** Looks up who has the whole shared prefix, regardless of memory and wait. */
  private findShared(
    run: CallRun,
    model: string | null,
    endpoints: readonly EndpointEntry[],
  ): PrefixLookup {
    const {prefillBacklog} = this.options;
    const {service, call} = run.admitted;
    const {sharedPrefixId} = run;
    const cacheOwner =
      sharedPrefixId === null
        ? null
        : chooseCacheOwner(
            this.listCacheOwners(endpoints),
            `${model}/${sharedPrefixId}`,
          );
    const getCachedProbability = (endpoint: EndpointEntry): number => {
      if (sharedPrefixId === null) return 0;
      if (this.prefixCache.has(endpoint, model, sharedPrefixId)) return 1;
      return endpoint === cacheOwner ? CACHE_OWNER_PROBABILITY : 0;
    };
    return {
      isHolder: endpoint => getCachedProbability(endpoint) > 0,
      weigh: (endpoint, backlogMs) => ({
        plan: planPrefill({
          cachedProbability: getCachedProbability(endpoint),
          sharedTokens: run.sharedTokens,
          ownTokens: call.facts.promptTokens - run.sharedTokens,
          msPerToken: prefillBacklog.getRate(service.name, model).msPerToken,
        }),
        waitMs: backlogMs,
        waitSpreadMs: 0,
      }),
    };
  }

  /**
   * Lists the endpoints among which the one is chosen that caches a prefix: those
   * of this region, since all prompts of another one would cross a shared link.
   */
  private listCacheOwners(
    endpoints: readonly EndpointEntry[],
  ): readonly EndpointEntry[] {
    const {region, findRegion} = this.options;
    const near = endpoints.filter(
      ({dataCentre}) => findRegion(dataCentre) === region,
    );
    return near.length >= MIN_REGION_ENDPOINTS ? near : endpoints;
  }

  private describeCandidate(
    run: CallRun,
    endpoint: EndpointEntry,
    prefixes: PrefixLookup,
  ): EndpointCandidate {
    const {view, health, speeds, prefillBacklog} = this.options;
    const otherLoad = view.getOtherLoad(endpoint.id);
    const backlogMs =
      prefillBacklog.getPendingMs(endpoint) +
      otherLoad.readingMs * OTHER_BACKLOG_WEIGHT;
    const {plan, waitMs, waitSpreadMs} = prefixes.weigh(endpoint, backlogMs);
    const open = {own: health.countOpen(endpoint), others: otherLoad.open};
    return {
      endpoint,
      // What gateways know of the work at engines is more than their number.
      open: run.admitted.service.engine
        ? open.own + open.others
        : speeds.estimateOpen(endpoint, open),
      isEjected: health.isEjected(endpoint),
      isFull: health.isFull(endpoint),
      failureShare: health.getFailureShare(endpoint),
      waitMs,
      waitSpreadMs,
      plan,
      time: speeds.estimate(endpoint, waitMs + plan.ms),
    };
  }
}

/**
 * Chooses the endpoint that caches a prompt prefix by rendezvous hashing, so
 * that all gateways agree on it without coordination.
 */
function chooseCacheOwner(
  endpoints: readonly EndpointEntry[],
  cacheKey: string,
): EndpointEntry | null {
  let owner: EndpointEntry | null = null;
  let highest = -1;
  for (const endpoint of endpoints) {
    const rank = computeShare(`${endpoint.id}/${cacheKey}`);
    if (rank <= highest) continue;
    owner = endpoint;
    highest = rank;
  }
  return owner;
}
