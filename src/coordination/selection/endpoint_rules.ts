/**
 * The rules that decide which endpoints may get an attempt of a request.
 *
 * The endpoint picker applies them to each choice, and the attempt once more right
 * before its first byte is written, since opening a connection takes time.
 */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {EndpointSpeeds} from '../endpoint_speed/endpoint_speeds.ts';
import type {CallRun} from '../forwarding/call_run.ts';
import type {EndpointLimits} from '../forwarding/endpoint_limits.ts';

/** Whether an attempt is the first one of its request. */
export type AttemptOrder = 'first' | 'further';

/** A rule; what it leaves out is allowed. */
export interface EndpointRule {
  /** Whether an endpoint may get the request at all, as of now. */
  isAllowed?(run: CallRun, endpoint: EndpointEntry): boolean;
  /** Whether this gateway may send the endpoint a request now. */
  hasRoom?(endpoint: EndpointEntry): boolean;
  /** Takes that room for one request; false if there is none. */
  tryTake?(endpoint: EndpointEntry, attempt: AttemptOrder): boolean;
}

/** What the choice of endpoints needs to know of their room and speed. */
export interface SelectionOptions {
  readonly limits: EndpointLimits;
  readonly rules: EndpointRules;
  readonly speeds: EndpointSpeeds;
  /** Whether the savings of cached prompt prefixes are weighed; false by default. */
  readonly weighsCachedPrefixes?: boolean;
}

/** Combines rules: all of them must hold. */
export class EndpointRules implements Required<EndpointRule> {
  constructor(private readonly rules: readonly EndpointRule[]) {}

  isAllowed(run: CallRun, endpoint: EndpointEntry): boolean {
    return this.rules.every(rule => rule.isAllowed?.(run, endpoint) ?? true);
  }

  hasRoom(endpoint: EndpointEntry): boolean {
    return this.rules.every(rule => rule.hasRoom?.(endpoint) ?? true);
  }

  /** Takes nothing from a rule unless the others have room. */
  tryTake(endpoint: EndpointEntry, attempt: AttemptOrder): boolean {
    const [first, ...others] = this.rules;
    const hasOtherRoom = others.every(rule => rule.hasRoom?.(endpoint) ?? true);
    if (!hasOtherRoom) return false;
    if (first?.tryTake?.(endpoint, attempt) === false) return false;
    return others.every(rule => rule.tryTake?.(endpoint, attempt) ?? true);
  }

  /** Whether the first byte may be written; takes the room for it if so. */
  mayBegin(run: CallRun, endpoint: EndpointEntry): boolean {
    const order = run.sends === 0 ? 'first' : 'further';
    return this.isAllowed(run, endpoint) && this.tryTake(endpoint, order);
  }
}
