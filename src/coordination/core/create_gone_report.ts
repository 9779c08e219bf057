/** Creates the report of an endpoint that deregisters. */
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import {dropSilentFlag, type EndpointRegistry} from './endpoint_registry.ts';

/** How long an endpoint repeats a deregistration without an answer, in ms. */
const REPEATED_WITHIN_MS = 6_000;

export interface GoneEndpoint {
  readonly id: string;
  /** The start that ends; `null` if the endpoint does not tell. */
  readonly startedAtMs: number | null;
}

/** Returns the report; `null` if the start that ends is not known here. */
export function createGoneReport(
  endpoints: Pick<EndpointRegistry, 'find' | 'getAgeMs'>,
  {id, startedAtMs}: GoneEndpoint,
): EndpointReport | null {
  const entry = endpoints.find(id);
  if (!entry) return null;
  // Either repeated, or about a new start that has not been heard of.
  const isOld = endpoints.getAgeMs(id) > REPEATED_WITHIN_MS;
  if (startedAtMs === null && entry.state === 'gone' && isOld) return null;
  const report: EndpointReport = {...dropSilentFlag(entry), state: 'gone'};
  if (startedAtMs !== null) report.startedAtMs = startedAtMs;
  return report.startedAtMs > entry.startedAtMs ? null : report;
}
