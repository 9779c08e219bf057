/**
 * Whether a service certainly has room: under half of its slots are taken, and
 * nothing waits at its endpoints. Nothing is rejected then, whatever else was
 * observed.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {AttemptOutcome} from '../forwarding/call.ts';
import type {CallRun} from '../forwarding/call_run.ts';
import type {EndpointHealth} from '../forwarding/endpoint_health.ts';
import type {EndpointNotices} from '../forwarding/endpoint_notices.ts';
import type {GatewayView} from '../gateway/gateway_view.ts';
import type {EndpointRules} from '../selection/endpoint_rules.ts';

/** The share of slots up to which nothing may be rejected. */
const FREE_SHARE = 0.5;

/** How long an endpoint counts as one where requests wait after it said so. */
const WAITING_MS = 500;

/** The endpoints whose reports are kept; the oldest give way. */
const MAX_REPORTS = 1_024;

export interface ServiceRoomOptions {
  readonly clock: Clock;
  readonly view: Pick<GatewayView, 'listEndpoints' | 'getOtherLoad'>;
  readonly health: EndpointHealth;
  readonly notices: Pick<EndpointNotices, 'mayReceive'>;
  readonly rules: Pick<EndpointRules, 'isAllowed'>;
  /** Whether the loads of other gateways are new enough to count. */
  readonly isViewFresh: () => boolean;
}

interface Look {
  readonly at: number;
  readonly hasRoom: boolean;
}

export class ServiceRoom {
  private readonly looks = new Map<string, Look>();
  /** When requests last waited at an endpoint, by its id. */
  private readonly waitedAt = new Map<string, number>();

  constructor(private readonly options: ServiceRoomOptions) {}

  /**
   * Whether the endpoints that may get a request certainly have room, as of a look at
   * them in the last `maxAgeMs`.
   */
  hasRoom(run: CallRun, maxAgeMs: number): boolean {
    const now = this.options.clock.monotonic();
    const key = createKey(run);
    const known = this.looks.get(key);
    if (known && now - known.at < maxAgeMs) return known.hasRoom;
    const hasRoom = this.look(run, now);
    this.looks.set(key, {at: now, hasRoom});
    return hasRoom;
  }

  /** Records what an attempt shows of the requests that wait at its endpoint. */
  record({id}: EndpointEntry, outcome: AttemptOutcome): void {
    const now = this.options.clock.monotonic();
    if (outcome.type === 'not-run' && isOverloaded(outcome)) {
      return this.recordWaiting(id, now);
    }
    if (outcome.type !== 'answer') return;
    const {load} = outcome.answer.facts;
    if (load === null) return;
    if (load.waiting > 0) this.recordWaiting(id, now);
    else this.waitedAt.delete(id);
  }

  private recordWaiting(id: string, now: number): void {
    this.waitedAt.delete(id);
    this.waitedAt.set(id, now);
    const [oldest] = this.waitedAt.keys();
    if (this.waitedAt.size > MAX_REPORTS && oldest !== undefined) {
      this.waitedAt.delete(oldest);
    }
  }

  private look(run: CallRun, now: number): boolean {
    const {view, health, notices, rules} = this.options;
    const {name} = run.admitted.service;
    const isViewFresh = this.options.isViewFresh();
    let slots = 0;
    let taken = 0;
    for (const endpoint of view.listEndpoints(name)) {
      if (endpoint.state !== 'ready' || endpoint.silent) continue;
      if (health.isEjected(endpoint) || !notices.mayReceive(endpoint)) continue;
      if (!rules.isAllowed(run, endpoint)) continue;
      const waitedAt = this.waitedAt.get(endpoint.id) ?? -Infinity;
      if (now - waitedAt < WAITING_MS || health.isFull(endpoint)) return false;
      const others = isViewFresh ? view.getOtherLoad(endpoint.id).open : 0;
      slots += endpoint.slots;
      taken += health.countOpen(endpoint) + others;
    }
    return taken < slots * FREE_SHARE;
  }
}

/** Whether an endpoint did not run a request for lack of room. */
function isOverloaded(outcome: {
  readonly status: number;
  readonly facts: {readonly isLeaving: boolean};
}): boolean {
  return outcome.status !== 421 && !outcome.facts.isLeaving;
}

/** Requests with the same key may go to the same endpoints. */
function createKey({admitted}: CallRun): string {
  const {service, route, customer} = admitted;
  const home = route.allowedRegions?.length ? route.name : '';
  const customerHome = customer?.allowedRegions?.length ? customer.name : '';
  return `${service.name}\n${home}\n${customerHome}`;
}
