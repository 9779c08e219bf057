/** What a simulated site with cold endpoints is given, and what it records. */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {ColdStart} from '../../protocol/route_table.ts';
import type {ColdBounds} from './cold_start_rule.ts';

/** The step of the simulation. */
export const TICK_MS = 10;

/** How long an endpoint is cold. */
export const COLD_MS = 3_000;

const DATA_CENTRES = 6;
const REGIONS = 2;

export interface ColdSiteOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly cores: number;
  readonly endpoints: number;
  /** First requests at all gateways together. */
  readonly perSecond: number;
  /** The load of gateways in relation to the mean, by their index in turn. */
  readonly loads: readonly number[];
  /** The share of times at which a warm endpoint has no free slot. */
  readonly fullShare: number;
  /** How long a request waits at a gateway for an endpoint with room. */
  readonly patienceMs: number;
  /** How often a refused caller returns, to any gateway. */
  readonly maxReturns: number;
  readonly coldStart: ColdStart;
  readonly bounds: ColdBounds;
}

/** A request that has not been sent yet. */
export interface WaitingCaller {
  /** How often it was refused before. */
  readonly returns: number;
  readonly receivedAt: number;
}

export interface ColdArrival {
  readonly atMs: number;
  readonly startedAtMs: number;
  readonly gateway: number;
  /** Whether its gateway took the endpoint for cold. */
  readonly isKnown: boolean;
  /** When its gateway made the last call that the core answered. */
  readonly contactAt: number;
}

export interface SimulatedEndpoint {
  entry: EndpointEntry;
  coldUntil: number;
  heartbeatAt: number;
  isDown: boolean;
  readonly arrivals: ColdArrival[];
}

export interface ColdPeriod {
  readonly endpoint: number;
  readonly startedAtMs: number;
  /** Whether it began with a start of the endpoint. */
  readonly isNewStart: boolean;
  readonly fromMs: number;
  untilMs: number;
  /** When a core daemon first received a report of it. */
  reportedAt: number;
}

/** The place of a gateway or an endpoint by its index. */
export function createPlace(index: number) {
  return {dataCentre: `d${index % DATA_CENTRES}`};
}

export function findRegion(dataCentre: string): string {
  return `r${Number(dataCentre.slice(1)) % REGIONS}`;
}
