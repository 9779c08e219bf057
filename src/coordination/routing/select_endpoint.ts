/** Selects the endpoint for a request whose version is already selected. */
import type {Endpoint} from '../membership/endpoint_table.ts';

export interface SelectEndpointOptions {
  readonly pool: string;
  /** The version as `model/version`; absent for a plain service. */
  readonly version?: string;
  readonly region: string;
  readonly dataCentre: string;
  /** Endpoints that failed this request before. */
  readonly avoided?: ReadonlySet<string>;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/** Selects the endpoint with the lowest utilisation, preferring near ones. */
export function selectEndpoint(
  endpoints: readonly Endpoint[],
  options: SelectEndpointOptions,
): Endpoint | null {
  let best: Endpoint | null = null;
  let bestScore = Infinity;
  for (const endpoint of endpoints) {
    if (!canServe(endpoint, options)) continue;
    const score = scoreEndpoint(endpoint, options);
    if (score >= bestScore) continue;
    best = endpoint;
    bestScore = score;
  }
  return best;
}

/** Whether the endpoint accepts new requests of this kind. */
export function canServe(
  endpoint: Endpoint,
  options: Pick<SelectEndpointOptions, 'pool' | 'version' | 'avoided'>,
): boolean {
  if (endpoint.leaving || endpoint.pool !== options.pool) return false;
  if (options.avoided?.has(endpoint.name)) return false;
  return (
    options.version === undefined || endpoint.versions.includes(options.version)
  );
}

/** The penalty of another region, as a share of an endpoint's slots. */
const REGION_PENALTY = 1;

/** The penalty of another data centre in the same region. */
const DATA_CENTRE_PENALTY = 0.05;

function scoreEndpoint(
  endpoint: Endpoint,
  options: SelectEndpointOptions,
): number {
  const busy = endpoint.inFlight / endpoint.slots;
  const tieBreak = options.random() / 1_000;
  if (endpoint.region !== options.region) {
    return busy + REGION_PENALTY + tieBreak;
  }
  if (endpoint.dataCentre !== options.dataCentre) {
    return busy + DATA_CENTRE_PENALTY + tieBreak;
  }
  return busy + tieBreak;
}
