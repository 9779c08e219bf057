/** Picks the endpoint, the model and the urgency of the next attempt. */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Clock} from '../../protocol/clock.ts';
import type {AdmissionHooks} from '../fair_admission/admission_hooks.ts';
import {computeModelUrgency} from '../fair_admission/compute_urgency.ts';
import type {GatewayView} from '../gateway/gateway_view.ts';
import {createStartKey} from '../quarantine/endpoint_ends.ts';
import type {Quarantine} from '../quarantine/quarantine.ts';
import type {CallRun} from './call_run.ts';
import {chooseEndpoint, type EndpointCandidate} from './choose_endpoint.ts';
import {chooseModel} from './choose_model.ts';
import {chooseVersion} from './choose_version.ts';
import {drawEndpoints} from './draw_endpoints.ts';
import type {EndpointHealth} from './endpoint_health.ts';
import type {EndpointNotices} from './endpoint_notices.ts';
import {computeShare} from './hash.ts';
import {planPrefill} from './plan_prefill.ts';
import {PrefixCacheTracker} from './prefix_cache_tracker.ts';
import type {PrefillBacklog} from './prefill_backlog.ts';
import type {AttemptChoice} from './run_attempt.ts';
import type {SelectionOptions} from '../selection/endpoint_rules.ts';
import {selectTrialEndpoints} from './select_trial_endpoints.ts';

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

export interface EndpointPickerOptions
  extends SelectionOptions, AdmissionHooks {
  readonly view: GatewayView;
  readonly health: EndpointHealth;
  readonly notices: EndpointNotices;
  readonly quarantine: Pick<Quarantine, 'listEnded'>;
  readonly prefillBacklog: PrefillBacklog;
  readonly clock: Clock;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly region: string;
  readonly dataCentre: string;
  /** The region of a data centre; `null` when it is unknown. */
  readonly findRegion: (dataCentre: string) => string | null;
}

export interface PlanOptions {
  /** Whether an endpoint may be chosen; all may by default. */
  readonly isAllowed?: (endpoint: EndpointEntry) => boolean;
}

interface DescribeOptions {
  readonly endpoint: EndpointEntry;
  readonly model: string | null;
  /** The probability that it has the shared prompt prefix cached, 0 to 1. */
  readonly cachedProbability: number;
}

export class EndpointPicker {
  private readonly prefixCache: PrefixCacheTracker;

  constructor(private readonly options: EndpointPickerOptions) {
    this.prefixCache = new PrefixCacheTracker(options.clock);
  }

  /** Picks the next attempt; `null` when no endpoint can accept it. */
  pick(run: CallRun): AttemptChoice | null {
    const choice = this.planNext(run);
    if (choice) this.record(run, choice);
    return choice;
  }

  /** Plans the next attempt without recording it. */
  planNext(run: CallRun, options: PlanOptions = {}): AttemptChoice | null {
    const {models} = run.admitted.route;
    const model = run.call.facts.isModelOpen
      ? chooseModel(models, {asksLargest: this.asksLargest(run)})
      : null;
    return this.plan(run, model, options);
  }

  /** Records that a planned attempt will be made. */
  record({sharedPrefixId}: CallRun, {endpoint, model}: AttemptChoice): void {
    if (sharedPrefixId === null) return;
    this.prefixCache.record(endpoint, model, sharedPrefixId);
  }

  /**
   * Plans an attempt with a model without recording it; `null` when no endpoint
   * can accept it.
   */
  plan(
    run: CallRun,
    model: string | null,
    {isAllowed = () => true}: PlanOptions = {},
  ): AttemptChoice | null {
    const {region, dataCentre, findRegion, random, prefillBacklog, clock} =
      this.options;
    const {computeUrgency = computeModelUrgency} = this.options;
    const {service, route} = run.admitted;
    const allowed = this.listUntried(run).filter(isAllowed);
    const endpoints = selectTrialEndpoints(allowed, {
      rollout: this.options.view.findRollout(service.name),
      isUsable: endpoint => this.options.health.isUsable(endpoint),
      isNear: endpoint => findRegion(endpoint.dataCentre) === region,
    });
    const chosen = chooseEndpoint({
      service,
      candidates: this.describeCandidates(run, model, endpoints),
      region,
      dataCentre,
      findRegion,
      leftMs: run.call.receivedAt + route.objectiveMs - clock.monotonic(),
      random,
    });
    if (!chosen) return null;
    const {endpoint, plan, waitMs} = chosen;
    return {
      endpoint,
      model,
      urgency: computeUrgency(run.admitted, model),
      backlogMs: waitMs,
      plan,
      expectedMs:
        waitMs + plan.ms + prefillBacklog.getRate(service.name, model).fixedMs,
    };
  }

  /** Endpoints that accept requests and that this run has not tried. */
  listUntried(run: CallRun): EndpointEntry[] {
    const {notices, rules, quarantine} = this.options;
    const ended = quarantine.listEnded(run);
    return this.listEligible(run).filter(
      endpoint =>
        notices.mayReceive(endpoint) &&
        rules.hasRoom(endpoint) &&
        (ended.size === 0 || !ended.has(createStartKey(endpoint))),
    );
  }

  /** Whether an endpoint picked earlier still accepts requests. */
  mayReceive(endpoint: EndpointEntry): boolean {
    const {view, notices} = this.options;
    const known = view.findEndpoint(endpoint.id);
    return (
      known?.state === 'ready' &&
      known.startedAtMs === endpoint.startedAtMs &&
      notices.mayReceive(endpoint)
    );
  }

  /**
   * The time until the first requested back-off ends, in ms; `null` when no
   * eligible endpoint with room requested one.
   */
  findBackoffMs(run: CallRun): number | null {
    const {notices, rules} = this.options;
    const backoffs = this.listEligible(run)
      .filter(each => !notices.isLeaving(each) && rules.hasRoom(each))
      .map(endpoint => notices.getBackoffMs(endpoint))
      .filter(ms => ms > 0);
    return backoffs.length > 0 ? Math.min(...backoffs) : null;
  }

  /**
   * Plans when the caller of a refused request should return, in ms from now;
   * `null` when no limit of an eligible endpoint is the reason.
   */
  planReturnMs(run: CallRun): number | null {
    const {notices, limits} = this.options;
    const full = this.listEligible(run).filter(
      each => !notices.isLeaving(each) && !limits.hasRoom(each),
    );
    const returnMs = limits.planReturnMs(run.admitted.service.name, full);
    if (returnMs === null) return null;
    const backoffs = full.map(each => notices.getBackoffMs(each));
    return Math.max(returnMs, Math.min(...backoffs));
  }

  /**
   * Endpoints that this run has not tried, also those in a back-off or without
   * room in their limit.
   */
  private listEligible(run: CallRun): EndpointEntry[] {
    const {view, rules} = this.options;
    const service = run.admitted.service.name;
    const allows = chooseVersion(view.findRollout(service), run.versionSubject);
    return view
      .listEndpoints(service)
      .filter(
        endpoint =>
          endpoint.state === 'ready' &&
          allows(endpoint.version) &&
          !run.tried.has(endpoint.id) &&
          rules.isAllowed(run, endpoint),
      );
  }

  /** Samples endpoints for a request and adds what is known of their load. */
  private describeCandidates(
    run: CallRun,
    model: string | null,
    endpoints: readonly EndpointEntry[],
  ): EndpointCandidate[] {
    const {dataCentre, random} = this.options;
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
    const drawn = drawEndpoints(endpoints, {
      dataCentre,
      hasCachedPrompt: endpoint => getCachedProbability(endpoint) > 0,
      isUsable: endpoint => this.options.health.isUsable(endpoint),
      random,
    });
    return drawn.map(endpoint =>
      this.describeCandidate(run, {
        endpoint,
        model,
        cachedProbability: getCachedProbability(endpoint),
      }),
    );
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
    {endpoint, model, cachedProbability}: DescribeOptions,
  ): EndpointCandidate {
    const {view, health, prefillBacklog} = this.options;
    const otherLoad = view.getOtherLoad(endpoint.id);
    const {service, call} = run.admitted;
    return {
      endpoint,
      open: health.countOpen(endpoint) + otherLoad.open,
      isEjected: health.isEjected(endpoint),
      isFull: health.isFull(endpoint),
      failureShare: health.getFailureShare(endpoint),
      waitMs:
        prefillBacklog.getPendingMs(endpoint) +
        otherLoad.readingMs * OTHER_BACKLOG_WEIGHT,
      plan: planPrefill({
        cachedProbability,
        sharedTokens: run.sharedTokens,
        ownTokens: call.facts.promptTokens - run.sharedTokens,
        msPerToken: prefillBacklog.getRate(service.name, model).msPerToken,
      }),
    };
  }

  /**
   * Whether to ask the largest model. It is not asked again once an attempt at
   * it failed and the objective has passed: the smallest answers sooner.
   */
  private asksLargest({
    hasEscalated,
    hasFallenBack,
    runs,
    admitted,
    call,
  }: CallRun): boolean {
    if (hasFallenBack) return false;
    if (!hasEscalated || runs < 2) return hasEscalated;
    const elapsedMs = this.options.clock.monotonic() - call.receivedAt;
    return elapsedMs < admitted.route.objectiveMs;
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
