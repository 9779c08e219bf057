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
import type {RefusalReason} from '../forwarding/refuse.ts';

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
  /** Why a request is refused that no endpoint accepts; `null` for no reason. */
  explainRefusal?(run: CallRun): RefusalReason | null;
  /**
   * How long a request without room would wait here for it, in ms; 0 with room,
   * `Infinity` (the default without room) if it should not.
   */
  getWaitMs?(endpoint: EndpointEntry): number;
  /**
   * Plans when the caller of a refused request should return, in ms from now, by
   * the endpoints of its service without room; `null` if that does not matter.
   */
  planReturnMs?(
    service: string,
    endpoints: readonly EndpointEntry[],
  ): number | null;
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

  explainRefusal(run: CallRun): RefusalReason | null {
    for (const rule of this.rules) {
      const reason = rule.explainRefusal?.(run) ?? null;
      if (reason !== null) return reason;
    }
    return null;
  }

  getWaitMs(endpoint: EndpointEntry): number {
    const waits = this.rules.map(rule => {
      if (rule.hasRoom?.(endpoint) ?? true) return 0;
      return rule.getWaitMs?.(endpoint) ?? Infinity;
    });
    return Math.max(0, ...waits);
  }

  /** Plans the first return of those that the rules without room plan. */
  planReturnMs(
    service: string,
    endpoints: readonly EndpointEntry[],
  ): number | null {
    const returns = this.rules
      .map(rule => {
        const full = endpoints.filter(each => rule.hasRoom?.(each) === false);
        return full.length === 0 ? null : rule.planReturnMs?.(service, full);
      })
      .filter(ms => typeof ms === 'number');
    return returns.length > 0 ? Math.min(...returns) : null;
  }

  /** Whether the first byte may be written; takes the room for it if so. */
  mayBegin(run: CallRun, endpoint: EndpointEntry): boolean {
    const order = run.sends === 0 ? 'first' : 'further';
    return this.isAllowed(run, endpoint) && this.tryTake(endpoint, order);
  }
}
