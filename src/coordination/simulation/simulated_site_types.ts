/** What a simulated site is given, and what it records. */
import type {Route, RouteCustomer} from '../../protocol/route_table.ts';
import type {CallFacts} from '../forwarding/call.ts';
import type {FakeRequest} from '../forwarding/forwarding_fakes.ts';

/** A limit that an endpoint names in its answers for some time. */
export interface SiteLimit {
  /** The index of the endpoint. */
  readonly endpoint: number;
  readonly perSecond: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Endpoints that crash. */
export interface SiteEngines {
  /** Answers that an endpoint works on at once. */
  readonly batch: number;
  /** Parts of prompts that crash engines; none by default. */
  readonly badParts?: ReadonlySet<string>;
  /** Bodies of requests that crash endpoints; none by default. */
  readonly badBodies?: ReadonlySet<string>;
  /** Whether they answer calls and not streams; false by default. */
  readonly answersCalls?: boolean;
  /** Whether they come back with another id and address; false by default. */
  readonly movesAddress?: boolean;
}

/** How connections of a gateway to endpoints are broken. */
export type LinkFault =
  /** New connections are accepted and reset. */
  | 'reset'
  /** New connections are refused. */
  | 'refuse'
  /** New connections hang. */
  | 'hang';

/** Requests of one kind. */
export interface SiteLoad {
  readonly perSecond: number;
  readonly drawRequest: () => FakeRequest;
  /** The index of the only gateway that gets them; any by default. */
  readonly gateway?: number | undefined;
}

export interface SimulatedSiteOptions {
  readonly seed: number;
  /** 9 by default. */
  readonly gateways?: number;
  /** 5 by default. */
  readonly cores?: number;
  /** 6 by default. */
  readonly endpoints?: number;
  /** None by default. */
  readonly limits?: readonly SiteLimit[];
  /** Lets endpoints be engines that crash; they do not by default. */
  readonly engines?: SiteEngines;
  /** The customers that own keys; requests need none by default. */
  readonly customers?: readonly RouteCustomer[];
  /** The share of messages between daemons that are lost; 0 by default. */
  readonly lossShare?: number;
  /** The share of answers that are errors; 0 by default. */
  readonly failureShare?: number;
  readonly route?: Partial<Route>;
}

/** A request that arrived at an endpoint. */
export interface Arrival {
  readonly attemptId: string | null;
  readonly atMs: number;
  readonly endpoint: number;
  readonly gateway: number;
  /** Whether the gateway was restarted or cut off less than 4 s before. */
  readonly isExcused: boolean;
  /** Whether an answer told the gateway of the limit 0.5 s before or earlier. */
  readonly isTold: boolean;
  /** Whether the gateway followed the core long enough to know of the limit. */
  readonly isInformed: boolean;
  /** The ids of its prompt's parts. */
  readonly parts: readonly string[];
  readonly body: string;
}

/** A request as its caller saw it. */
export interface SiteRequest {
  readonly atMs: number;
  readonly gateway: number;
  readonly isExcused: boolean;
  /** The ids of its prompt's parts. */
  readonly parts: readonly string[];
  readonly body: string;
  status: number;
  text: string;
}

/** A request that a gateway refused. */
export interface Refusal {
  readonly atMs: number;
  /** How long the caller had waited, in ms. */
  readonly waitedMs: number;
  readonly retryAfterMs: number;
}

/** Lists the ids of the parts of a prompt. */
export function listParts({prompt = []}: Partial<CallFacts>): string[] {
  return prompt.map(({id}) => id);
}
