/** Chooses the endpoint for one attempt. */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {RoutedService} from '../../protocol/route_table.ts';
import {computeShare} from './hash.ts';

/** An endpoint with what the gateway knows of its load. */
export interface EndpointCandidate {
  readonly endpoint: EndpointEntry;
  /** Open requests of all gateways. */
  readonly open: number;
  readonly isEjected: boolean;
  readonly isFull: boolean;
  /** The share of its answers that failed here lately, from 0 to 1. */
  readonly failureShare: number;
}

export interface ChooseEndpointOptions {
  readonly service: RoutedService;
  readonly candidates: readonly EndpointCandidate[];
  readonly region: string;
  readonly dataCentre: string;
  /** The region of a data centre; `null` when it is unknown. */
  readonly findRegion: (dataCentre: string) => string | null;
  /** What requests with a common prompt share; `null` without one. */
  readonly subject: string | null;
  /** Tokens that need no reading where the subject is cached. */
  readonly sharedTokens: number;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/** What a hop to another data centre costs, as a share of all slots busy. */
const DATA_CENTRE_COST = 0.35;

/** What a hop to another region costs: a round trip of 60 ms and its bytes. */
const REGION_COST = 0.9;

/** What reading 10,000 tokens again costs, as a share of all slots busy. */
const READ_COST_PER_10K_TOKENS = 0.5;

/** What an endpoint costs all of whose answers fail. */
const FAILURE_COST = 3;

/** Breaks ties between endpoints that are equally good. */
const TIE_COST = 0.02;

/**
 * Returns the endpoint that should answer soonest at the least cost; `null`
 * when there is none. Endpoints that are ejected, full or silent are chosen
 * only when no other is left.
 */
export function chooseEndpoint(
  options: ChooseEndpointOptions,
): EndpointCandidate | null {
  const {candidates} = options;
  const sound = candidates.filter(
    ({isEjected, isFull, endpoint}) =>
      !isEjected && !isFull && !endpoint.silent,
  );
  const heard = candidates.filter(
    ({isEjected, endpoint}) => !isEjected && !endpoint.silent,
  );
  const pool = sound.length > 0 ? sound : heard.length > 0 ? heard : candidates;
  const preferred = findPreferred(options, pool);
  const [best] = pool
    .map(candidate => ({
      candidate,
      cost: computeCost(options, candidate, preferred),
    }))
    .sort((a, b) => a.cost - b.cost);
  return best?.candidate ?? null;
}

/** The endpoint of each data centre that keeps the subject's prompt. */
function findPreferred(
  {subject}: ChooseEndpointOptions,
  pool: readonly EndpointCandidate[],
): ReadonlySet<EndpointEntry> {
  if (subject === null) return new Set();
  const best = new Map<string, {endpoint: EndpointEntry; rank: number}>();
  for (const {endpoint} of pool) {
    const rank = computeShare(`${endpoint.id}/${subject}`);
    const known = best.get(endpoint.dataCentre);
    if (!known || rank > known.rank) {
      best.set(endpoint.dataCentre, {endpoint, rank});
    }
  }
  return new Set([...best.values()].map(({endpoint}) => endpoint));
}

function computeCost(
  options: ChooseEndpointOptions,
  candidate: EndpointCandidate,
  preferred: ReadonlySet<EndpointEntry>,
): number {
  const {service, sharedTokens, random} = options;
  const {endpoint, open, failureShare} = candidate;
  const slots = Math.max(1, service.engine?.slots ?? endpoint.slots);
  const isCached = preferred.has(endpoint);
  const reading = isCached
    ? 0
    : (sharedTokens / 10_000) * READ_COST_PER_10K_TOKENS;
  return (
    open / slots +
    computeDistance(options, endpoint) +
    reading +
    failureShare * FAILURE_COST +
    random() * TIE_COST
  );
}

function computeDistance(
  {region, dataCentre, findRegion}: ChooseEndpointOptions,
  endpoint: EndpointEntry,
): number {
  if (endpoint.dataCentre === dataCentre) return 0;
  return findRegion(endpoint.dataCentre) === region
    ? DATA_CENTRE_COST
    : REGION_COST;
}
