/** Chooses the endpoint for one attempt. */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {RoutedService} from '../../protocol/route_table.ts';
import type {PrefillPlan} from './plan_reading.ts';

/** An endpoint with what the gateway knows of its load. */
export interface EndpointCandidate {
  readonly endpoint: EndpointEntry;
  /** Open requests of all gateways. */
  readonly open: number;
  readonly isEjected: boolean;
  readonly isFull: boolean;
  /** The share of its answers that failed here lately, from 0 to 1. */
  readonly failureShare: number;
  /** How long it reads the prompts that it already has, in ms. */
  readonly waitMs: number;
  /** What it does before it can begin the answer. */
  readonly plan: PrefillPlan;
}

export interface ChooseEndpointOptions {
  readonly service: RoutedService;
  readonly candidates: readonly EndpointCandidate[];
  readonly region: string;
  readonly dataCentre: string;
  /** The region of a data centre; `null` when it is unknown. */
  readonly findRegion: (dataCentre: string) => string | null;
  /** The time until the answer should begin, in ms. */
  readonly leftMs: number;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/** What a hop to another data centre costs, as a share of all slots busy. */
const DATA_CENTRE_COST = 0.35;

/** What a hop to another region costs: a round trip of 60 ms and its bytes. */
const REGION_COST = 0.9;

/** What hops cost before engines, in ms of their time. */
const DATA_CENTRE_MS = 30;
const REGION_MS = 120;

/** What a wait costs that harms nobody, against an engine's time. */
const WAIT_WEIGHT = 0.3;

/** Answers that begin within this share of the time left count as safe. */
const SAFE_SHARE = 0.5;

/** What each ms beyond that costs. */
const OVERDUE_WEIGHT = 3;

/** What a request that runs at an engine costs the next one, in ms. */
const OPEN_REQUEST_MS = 4;

/** What an engine costs all of whose answers fail, in ms. */
const FAILURE_MS = 3_000;

/** Breaks ties between engines that are equally good, in ms. */
const TIE_MS = 10;

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
  const usable = candidates.filter(
    ({isEjected, isFull, endpoint}) =>
      !isEjected && !isFull && !endpoint.silent,
  );
  const responsive = candidates.filter(
    ({isEjected, endpoint}) => !isEjected && !endpoint.silent,
  );
  const pool =
    usable.length > 0
      ? usable
      : responsive.length > 0
        ? responsive
        : candidates;
  const [best] = pool
    .map(candidate => ({
      candidate,
      cost: computeCost(options, candidate),
    }))
    .sort((a, b) => a.cost - b.cost);
  return best?.candidate ?? null;
}

function computeCost(
  options: ChooseEndpointOptions,
  candidate: EndpointCandidate,
): number {
  const {service, random} = options;
  const {endpoint, open, failureShare} = candidate;
  if (service.engine) return computeEngineMs(options, candidate);
  return (
    open / Math.max(1, endpoint.slots) +
    computeDistance(options, endpoint, [DATA_CENTRE_COST, REGION_COST]) +
    failureShare * FAILURE_COST +
    random() * TIE_COST
  );
}

/** What an answer costs: the engine's time, and how late it would begin, in ms. */
function computeEngineMs(
  options: ChooseEndpointOptions,
  candidate: EndpointCandidate,
): number {
  const {leftMs, random} = options;
  const {endpoint, open, failureShare, waitMs, plan} = candidate;
  const overdueMs = waitMs + plan.ms - leftMs * SAFE_SHARE;
  return (
    plan.ms +
    waitMs * WAIT_WEIGHT +
    Math.max(0, overdueMs) * OVERDUE_WEIGHT +
    open * OPEN_REQUEST_MS +
    computeDistance(options, endpoint, [DATA_CENTRE_MS, REGION_MS]) +
    failureShare * FAILURE_MS +
    random() * TIE_MS
  );
}

function computeDistance(
  {region, dataCentre, findRegion}: ChooseEndpointOptions,
  endpoint: EndpointEntry,
  [dataCentreCost, regionCost]: readonly [number, number],
): number {
  if (endpoint.dataCentre === dataCentre) return 0;
  return findRegion(endpoint.dataCentre) === region
    ? dataCentreCost
    : regionCost;
}
