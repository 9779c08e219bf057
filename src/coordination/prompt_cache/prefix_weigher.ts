/**
 * Weighs for each request what engines are expected to have cached of its prompt
 * against the wait there.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Engine} from '../../protocol/route_table.ts';
import type {CallFacts} from '../forwarding/call.ts';
import type {CallRun} from '../forwarding/call_run.ts';
import type {EndpointHealth} from '../forwarding/endpoint_health.ts';
import type {PrefillBacklog} from '../forwarding/prefill_backlog.ts';
import type {AttemptChoice} from '../forwarding/run_attempt.ts';
import type {GatewayView} from '../gateway/gateway_view.ts';
import {chooseCacheOwners} from './cache_owners.ts';
import {
  estimateHeld,
  estimateSlotWaitMs,
  type SlotWaitOptions,
} from './engine_memory.ts';
import {POPULARITY_MS, PrefixHoldings} from './prefix_holdings.ts';
import {listChain, type ChainLink} from './prompt_chain.ts';
import {ServiceFlow} from './service_flow.ts';
import {
  weighPrefix,
  type LinkAtEngine,
  type WeighedPrefix,
} from './weigh_prefix.ts';

/** The probability that the owner has a prefix that was not evicted there. */
const OWNER_PROBABILITY = 0.8;

/**
 * The part of that which depends on eviction. If all of it did, gateways would
 * leave an owner that lost a prefix, and it would be read again at many engines.
 */
const EVICTION_SHARE = 0.25;

/** The same for the second owner while the first one has no place. */
const SECOND_PROBABILITY = 0.5;

/** Recent requests of this gateway that make a prefix popular. */
const POPULAR_USES = 3;

/** The recent requests that a prefix unknown to this gateway is assumed to have. */
const MIN_USES = 0.3;

/**
 * The fewest endpoints of a data centre or a region that cache the prefixes of
 * its callers among themselves.
 */
const MIN_OWNERS = 8;

/** The most engines that are compared because this gateway used them. */
const MAX_TRACKED = 6;

/** The part of the largest output that a request is assumed to have. */
const OUTPUT_SHARE = 0.5;

export interface PrefixWeigherOptions {
  readonly view: GatewayView;
  readonly health: EndpointHealth;
  readonly prefillBacklog: PrefillBacklog;
  readonly clock: Clock;
  readonly region: string;
  readonly dataCentre: string;
  /** The region of a data centre; `null` when it is unknown. */
  readonly findRegion: (dataCentre: string) => string | null;
}

/** A request and the endpoints that may get it. */
export interface WeighedRequest {
  readonly run: CallRun;
  readonly engine: Engine;
  readonly model: string | null;
  readonly endpoints: readonly EndpointEntry[];
}

/** What engines are expected to have of the prompt of one request. */
export interface PrefixLookup {
  /** Whether an endpoint is to be compared since it may have a part. */
  isHolder(endpoint: EndpointEntry): boolean;
  /** @param backlogMs The prefill backlog in front of the request. */
  weigh(endpoint: EndpointEntry, backlogMs: number): WeighedPrefix;
}

export class PrefixWeigher {
  private readonly holdings: PrefixHoldings;
  /** The last attempt of each request. */
  private readonly attempts = new WeakMap<CallRun, RecordedAttempt>();
  private readonly flows = new Map<string, ServiceFlow>();

  constructor(private readonly options: PrefixWeigherOptions) {
    this.holdings = new PrefixHoldings(options.clock);
  }

  /** Records that an attempt will be made. */
  record(run: CallRun, {endpoint, model, plan}: AttemptChoice): void {
    const {view, health, clock} = this.options;
    const {facts} = run.call;
    const service = run.admitted.service.name;
    let open = 0;
    for (const each of view.listEndpoints(service)) {
      open += health.countOpen(each);
    }
    const outputTokens = estimateOutputTokens(facts);
    this.getFlow(service).record(
      {
        requestTokens: facts.promptTokens + outputTokens,
        uncachedTokens: plan.uncachedTokens + outputTokens,
      },
      open,
      clock.monotonic(),
    );
    const chain = listChain(facts, model);
    const readTokens = plan.uncachedTokens + outputTokens;
    this.attempts.set(run, {
      refusals: run.notRun + run.notSent,
      undo: this.holdings.record(endpoint, chain, readTokens),
    });
  }

  /** Undoes what was recorded of the last attempt if it was not run. */
  private dropRefused(run: CallRun): void {
    const attempt = this.attempts.get(run);
    if (!attempt || run.notRun + run.notSent <= attempt.refusals) return;
    attempt.undo();
    this.attempts.delete(run);
  }

  /** Looks up who may have the prompt of a request cached. */
  find({run, engine, model, endpoints}: WeighedRequest): PrefixLookup {
    const {prefillBacklog} = this.options;
    const {service, call} = run.admitted;
    this.dropRefused(run);
    const chain = listChain(call.facts, model);
    const flow = this.getFlow(service.name);
    const owners = this.findOwners(chain, {engine, flow, endpoints});
    const tracked = this.listTracked(chain);
    const {msPerToken} = prefillBacklog.getRate(service.name, model);
    return {
      isHolder: endpoint => owners.has(endpoint) || tracked.has(endpoint.id),
      weigh: (endpoint, backlogMs) => {
        const place = this.describePlace(endpoint, {engine, flow});
        const perMs = (place.others / place.holdMs) * flow.uncachedTokens;
        this.holdings.addOthers(endpoint, perMs);
        const priors = owners.get(endpoint);
        const links = chain.map((link, index): LinkAtEngine => {
          const held = this.estimateLink(endpoint, link, place);
          const prior = priors?.[index] ?? 0;
          return prior > held.probability
            ? {tokens: link.tokens, probability: prior}
            : held;
        });
        const {promptTokens} = call.facts;
        return weighPrefix(place, {
          promptTokens,
          links,
          msPerToken,
          backlogMs,
          others: place.others,
        });
      },
    };
  }

  /** Estimates what is left of what this gateway sent to an engine. */
  private estimateLink(
    endpoint: EndpointEntry,
    {key, tokens}: ChainLink,
    place: SlotWaitOptions,
  ): LinkAtEngine {
    const holding = this.holdings.find(endpoint, key);
    if (!holding) return {tokens, probability: 0};
    return {
      // The part of a session grows; what is new of it was never read.
      tokens: Math.min(tokens, holding.tokens),
      probability: estimateHeld(place, holding),
    };
  }

  /** Lists the ids of endpoints that lately got the longest prefixes. */
  private listTracked(chain: readonly ChainLink[]): ReadonlySet<string> {
    const tracked = new Set<string>();
    for (let index = chain.length - 1; index >= 0; index--) {
      const prefix = this.holdings.findPrefix(chain[index]!.key);
      const holders = [...(prefix?.holders ?? [])].reverse();
      for (const id of holders) {
        if (tracked.size >= MAX_TRACKED) return tracked;
        tracked.add(id);
      }
    }
    return tracked;
  }

  /**
   * Finds the owners of each shared prefix, with the probability that they have
   * it. Prefixes have one owner in the region, popular ones also one in the
   * data centre, and a second one while the first has no place.
   */
  private findOwners(
    chain: readonly ChainLink[],
    {engine, flow, endpoints}: FindOwnersOptions,
  ): Map<EndpointEntry, number[]> {
    const owners = new Map<EndpointEntry, number[]>();
    const {regional, local} = this.listGroups(endpoints);
    for (const [index, {key, isShared}] of chain.entries()) {
      if (!isShared) continue;
      const uses = this.holdings.findPrefix(key)?.uses ?? 0;
      const add = (owner: EndpointEntry, probability: number) => {
        const held = this.estimateOwnerHeld(owner, {engine, flow, uses});
        const priors = owners.get(owner) ?? [];
        const kept = 1 - EVICTION_SHARE * (1 - held);
        priors[index] = Math.max(priors[index] ?? 0, probability * kept);
        owners.set(owner, priors);
      };
      const groups =
        local && uses >= POPULAR_USES ? [local, regional] : [regional];
      for (const group of groups) {
        const {first, second} = chooseCacheOwners(group, key);
        if (!first) continue;
        add(first, OWNER_PROBABILITY);
        const isPopular = uses >= POPULAR_USES;
        if (second && isPopular && this.isFull(first, {engine, flow})) {
          add(second, SECOND_PROBABILITY);
        }
      }
    }
    return owners;
  }

  /** The groups of endpoints that cache prefixes among themselves. */
  private listGroups(endpoints: readonly EndpointEntry[]) {
    const {region, dataCentre, findRegion} = this.options;
    const near = endpoints.filter(
      each => findRegion(each.dataCentre) === region,
    );
    const same = endpoints.filter(each => each.dataCentre === dataCentre);
    return {
      regional: near.length >= MIN_OWNERS ? near : endpoints,
      local: same.length >= MIN_OWNERS ? same : null,
    };
  }

  /** Estimates the probability that an owner keeps a prefix between its uses. */
  private estimateOwnerHeld(
    owner: EndpointEntry,
    {engine, flow, uses}: OwnerUse,
  ): number {
    const place = this.describePlace(owner, {engine, flow});
    const gateways = this.options.view.gatewayCount;
    const ageMs = POPULARITY_MS / Math.max(MIN_USES, uses) / gateways;
    const perMs = this.holdings.getTokensPerMs(owner);
    return estimateHeld(place, {ageMs, tokensSince: ageMs * perMs});
  }

  private isFull(endpoint: EndpointEntry, use: EngineFlow): boolean {
    if (!this.options.health.isUsable(endpoint)) return true;
    return estimateSlotWaitMs(this.describePlace(endpoint, use)) > 0;
  }

  private describePlace(
    endpoint: EndpointEntry,
    {engine, flow}: EngineFlow,
  ): SlotWaitOptions & {readonly others: number} {
    const {view, health} = this.options;
    const others = view.getOtherLoad(endpoint.id).open;
    return {
      others,
      open: health.countOpen(endpoint) + others,
      slots: endpoint.slots > 0 ? endpoint.slots : engine.slots,
      memoryTokens: engine.memoryTokens,
      requestTokens: flow.requestTokens,
      holdMs: flow.holdMs,
    };
  }

  private getFlow(service: string): ServiceFlow {
    const known = this.flows.get(service);
    if (known) return known;
    const flow = new ServiceFlow();
    this.flows.set(service, flow);
    return flow;
  }
}

interface RecordedAttempt {
  /** The attempts of the request before that were not run. */
  readonly refusals: number;
  readonly undo: () => void;
}

interface EngineFlow {
  readonly engine: Engine;
  readonly flow: ServiceFlow;
}

interface FindOwnersOptions extends EngineFlow {
  readonly endpoints: readonly EndpointEntry[];
}

interface OwnerUse extends EngineFlow {
  /** The recent requests of this gateway with the prefix. */
  readonly uses: number;
}

/** Estimates the tokens of an output, which are kept in memory as well. */
function estimateOutputTokens({
  outputTokensHint,
  maxOutputTokens,
}: CallFacts): number {
  return outputTokensHint ?? maxOutputTokens * OUTPUT_SHARE;
}
