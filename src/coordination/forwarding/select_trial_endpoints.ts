/**
 * Selects the endpoints of a new version that serve while it is rolled out.
 *
 * They are so few that each has the load that it will have once the version is
 * complete, as far as its share allows: a version that fails under load does so
 * while it gets few requests. All gateways of a region select the same ones.
 */
import type {ServiceRollout} from '../../protocol/core_service.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {computeShare} from './hash.ts';

/** The largest load of an endpoint, as a part of that when complete. */
const MAX_LOAD = 1.1;

export interface SelectTrialOptions {
  /** The service's last roll-out; `null` if it never had one. */
  readonly rollout: Pick<ServiceRollout, 'state' | 'target' | 'share'> | null;
  /** Whether it is usable now. Others are selected only if none is. */
  readonly isUsable: (endpoint: EndpointEntry) => boolean;
  /** Whether it is in the gateway's region. Others likewise. */
  readonly isNear: (endpoint: EndpointEntry) => boolean;
}

/** Returns the endpoints of the target that serve now; else all of them. */
export function selectTrialEndpoints(
  endpoints: readonly EndpointEntry[],
  {rollout, isUsable, isNear}: SelectTrialOptions,
): readonly EndpointEntry[] {
  if (rollout?.state !== 'running') return endpoints;
  const {target, share} = rollout;
  if (endpoints.some(({version}) => version !== target)) return endpoints;
  const pool = keepIfAny(keepIfAny(endpoints, isUsable), isNear);
  return pool
    .map(endpoint => ({
      endpoint,
      rank: computeShare(`${target}/${endpoint.id}`),
    }))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, countTrialEndpoints(pool.length, share))
    .map(({endpoint}) => endpoint);
}

/** Counts the endpoints that serve a share of their service's requests. */
export function countTrialEndpoints(endpoints: number, share: number): number {
  return Math.min(
    endpoints,
    Math.max(1, Math.ceil((endpoints * share) / MAX_LOAD)),
  );
}

function keepIfAny(
  endpoints: readonly EndpointEntry[],
  matches: (endpoint: EndpointEntry) => boolean,
): readonly EndpointEntry[] {
  const kept = endpoints.filter(matches);
  return kept.length > 0 ? kept : endpoints;
}
