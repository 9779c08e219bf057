/** Chooses the endpoint for one attempt. */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {RoutedService} from '../../protocol/route_table.ts';
import type {TimeFactor} from '../endpoint_speed/time_factor.ts';
import type {PrefillPlan} from './plan_prefill.ts';

/** An endpoint with its load and health as known to this gateway. */
export interface EndpointCandidate {
  readonly endpoint: EndpointEntry;
  /** Requests that all gateways have open at it, as far as is known. */
  readonly open: number;
  readonly isEjected: boolean;
  readonly isFull: boolean;
  /** The recent share of its answers to this gateway that failed, 0 to 1. */
  readonly failureShare: number;
  /** Its prefill backlog in front of this request, in ms. */
  readonly waitMs: number;
  /** The standard deviation of that, in ms; 0 by default. */
  readonly waitSpreadMs?: number;
  /** The prefill of this request. */
  readonly plan: PrefillPlan;
  /** The time that work takes there, in relation to the usual time. */
  readonly time: TimeFactor;
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
  /**
   * Whether endpoints differ, so that a hop to another data centre is worth it
   * only if it saves a wait; false by default.
   */
  readonly weighsHops?: boolean;
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

/** Cost of work that takes twice the usual time, in units of slot use. */
const SLOW_COST = 1;

/**
 * Slot use up to which callers are not expected to wait, in proportion to the
 * time that work takes. Waves fill the rest before gateways notice.
 */
const SPILL_USE = 0.7;

/** Half the width of an even distribution of standard deviation 1. */
const EVEN_DRAW_WIDTH = Math.sqrt(3);

/** The least time factor that is drawn. */
const MIN_FACTOR = 0.2;

/** Time factor from which a near endpoint is no reason to stay near. */
const SPILL_FACTOR = 1.8;

/**
 * The costs of hops as shares of the time left, if they are more than the fixed
 * ones: a caller does not notice a wait that is that short.
 */
const DATA_CENTRE_SHARE = 0.02;
const REGION_SHARE = 0.08;

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
  const [best] = keepNear(options, pool)
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
  const {endpoint, failureShare} = candidate;
  if (service.engine) return computeEngineMs(options, candidate);
  const factor = drawFactor(options, candidate);
  return (
    computeUse(candidate) * factor +
    (factor - 1) * SLOW_COST +
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
  const {leftMs, random, weighsHops = false} = options;
  const {endpoint, open, failureShare, plan} = candidate;
  const factor = drawFactor(options, candidate);
  const waitMs = drawWaitMs(options, candidate) * factor;
  // Capacity is used for the usual time; the rest is a longer wait.
  const slowMs = plan.ms * (factor - 1);
  const overdueMs = waitMs + plan.ms * factor - leftMs * SAFE_SHARE;
  const hopMs = weighsHops ? leftMs : 0;
  return (
    plan.ms +
    (waitMs + slowMs) * WAIT_WEIGHT +
    Math.max(0, overdueMs) * OVERDUE_WEIGHT +
    open * OPEN_REQUEST_MS * factor +
    computeDistance(options, endpoint, [
      Math.max(DATA_CENTRE_MS, hopMs * DATA_CENTRE_SHARE),
      Math.max(REGION_MS, hopMs * REGION_SHARE),
    ]) +
    failureShare * FAILURE_MS +
    random() * TIE_MS
  );
}

/**
 * Draws a time factor from what is known, so that gateways do not all prefer one
 * endpoint and one that once was slow is tried again.
 */
function drawFactor(
  {random}: ChooseEndpointOptions,
  {time}: EndpointCandidate,
): number {
  if (time.spread === 0) return time.factor;
  const deviation = (2 * random() - 1) * EVEN_DRAW_WIDTH * time.spread;
  return Math.max(MIN_FACTOR, time.factor + deviation);
}

/** Draws a wait from what is known, as other gateways act on the same reports. */
function drawWaitMs(
  {random}: ChooseEndpointOptions,
  {waitMs, waitSpreadMs = 0}: EndpointCandidate,
): number {
  if (waitSpreadMs === 0) return waitMs;
  const deviation = (2 * random() - 1) * EVEN_DRAW_WIDTH * waitSpreadMs;
  return Math.max(0, waitMs + deviation);
}

function computeUse({endpoint, open}: EndpointCandidate): number {
  return open / Math.max(1, endpoint.slots);
}

/**
 * Leaves out endpoints of services without an engine that are further away than
 * one at which callers are not expected to wait.
 */
function keepNear(
  options: ChooseEndpointOptions,
  pool: readonly EndpointCandidate[],
): readonly EndpointCandidate[] {
  const {service, weighsHops = false} = options;
  if (!weighsHops || service.engine) return pool;
  const getHop = ({endpoint}: EndpointCandidate) =>
    computeDistance(options, endpoint, [DATA_CENTRE_COST, REGION_COST]);
  const hops = pool.filter(canServeAtOnce).map(getHop);
  const least = Math.min(...hops, REGION_COST);
  return pool.filter(candidate => getHop(candidate) <= least);
}

/** Whether a request is not expected to wait there, nor to take far longer. */
function canServeAtOnce(candidate: EndpointCandidate): boolean {
  const {isFull, isEjected, time} = candidate;
  return (
    !isFull &&
    !isEjected &&
    computeUse(candidate) < SPILL_USE &&
    time.factor < SPILL_FACTOR &&
    candidate.failureShare * FAILURE_COST < DATA_CENTRE_COST
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
