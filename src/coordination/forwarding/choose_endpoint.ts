/** Chooses the endpoint for one attempt. */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {RoutedService} from '../../protocol/route_table.ts';
import type {PrefillPlan} from './plan_prefill.ts';

/** An endpoint with its load and health as known to this gateway. */
export interface EndpointCandidate {
  readonly endpoint: EndpointEntry;
  /** Requests that all gateways have open at it. */
  readonly open: number;
  readonly isEjected: boolean;
  readonly isFull: boolean;
  /** The recent share of its answers to this gateway that failed, 0 to 1. */
  readonly failureShare: number;
  /** Its prefill backlog in front of this request, in ms. */
  readonly waitMs: number;
  /** The prefill of this request. */
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

// Costs of services without an engine are in units of slot use: 1 stands for an
// endpoint with all slots busy. Costs of engines are in ms of engine time.

/** Cost of another data centre in the same region. */
const DATA_CENTRE_COST = 0.35;

/** Cost of another region: a round trip of 60 ms and the bytes sent. */
const REGION_COST = 0.9;

/** The same costs for engines, in ms of engine time. */
const DATA_CENTRE_MS = 30;
const REGION_MS = 120;

/** Cost of 1 ms in the backlog that delays no answer beyond its objective. */
const WAIT_WEIGHT = 0.3;

/** Share of the time left within which an answer is expected to be on time. */
const SAFE_SHARE = 0.5;

/** Cost of each ms beyond that share. */
const OVERDUE_WEIGHT = 3;

/** Delay that each open request at an engine adds to the next one, in ms. */
const OPEN_REQUEST_MS = 4;

/** Cost of an engine whose answers all fail, in ms. */
const FAILURE_MS = 3_000;

/** Random tie-breaker between engines of equal cost, in ms. */
const TIE_MS = 10;

/** Cost of an endpoint whose answers all fail. */
const FAILURE_COST = 3;

/** Random tie-breaker between endpoints of equal cost. */
const TIE_COST = 0.02;

/**
 * Returns the candidate of the lowest cost; `null` without candidates. Full
 * endpoints are chosen only when no usable one is left, ejected and silent ones
 * only when there is no other.
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

/** The cost of an answer in ms: engine time, and a penalty for lateness. */
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
