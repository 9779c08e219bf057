/** Groups the live endpoints by what they serve, with their measurements. */
import {createHash} from 'node:crypto';
import type {Clock} from '../../protocol/clock.ts';
import type {PoolMeasure} from '../limits/measure_capacity.ts';
import type {Endpoint} from '../membership/endpoint_table.ts';
import {EndpointEjection} from './endpoint_ejection.ts';
import {
  buildGroup,
  type EndpointGroup,
  type GroupMember,
  type BaselineSpeed,
} from './endpoint_group.ts';
import {EndpointStats} from './endpoint_stats.ts';

export interface EndpointDirectoryOptions {
  readonly gateway: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly clock: Pick<Clock, 'monotonic'>;
  readonly listEndpoints: () => readonly Endpoint[];
}

/** What a group serves: a version of a pool, or the pool as a service. */
export interface GroupKey {
  readonly pool: string;
  /** The version as `model/version`. */
  readonly version?: string;
}

/** The shortest time between two rebuilds of the groups. */
const REBUILD_INTERVAL_MS = 100;

/**
 * The time between rebuilds for each endpoint listed, where that is longer:
 * a long list is rebuilt less often, which bounds the share of CPU time.
 */
const REBUILD_INTERVAL_MS_PER_ENDPOINT = 0.5;

/** The time between rebuilds when the requested group has no endpoint. */
const EMPTY_GROUP_REBUILD_INTERVAL_MS = 10;

/** Caches the groups and rebuilds them from the endpoint list when stale. */
export class EndpointDirectory {
  private members = new Map<Endpoint, GroupMember>();
  private groups = new Map<string, EndpointGroup>();
  private pools = new Map<string, GroupMember[]>();
  private versions = new Map<string, GroupMember[]>();
  private measures = new Map<string, PoolMeasure>();
  private served = new Set<string>();
  private readonly baselines = new Map<string, BaselineSpeed>();
  private builtAt = -Infinity;
  private rebuildIntervalMs = REBUILD_INTERVAL_MS;

  constructor(private readonly options: EndpointDirectoryOptions) {}

  /** Lists versions that at least one endpoint accepts requests for. */
  listServed(): ReadonlySet<string> {
    this.rebuild(this.rebuildIntervalMs);
    return this.served;
  }

  /** Sums the endpoints of a pool, as of the last rebuild. */
  measurePool(pool: string): PoolMeasure {
    this.rebuild(this.rebuildIntervalMs);
    let measure = this.measures.get(pool);
    if (!measure) {
      measure = sumMembers(this.pools.get(pool) ?? []);
      this.measures.set(pool, measure);
    }
    return measure;
  }

  /** Returns the baseline of a group, which the caller updates in place. */
  getBaseline(route: GroupKey): BaselineSpeed {
    const key = formatKey(route);
    let baseline = this.baselines.get(key);
    if (!baseline) {
      baseline = {firstTokenMs: null, tokenGapMs: null};
      this.baselines.set(key, baseline);
    }
    return baseline;
  }

  /** Returns the endpoints of a group; `undefined` if there are none. */
  findGroup(route: GroupKey): EndpointGroup | undefined {
    const {pool, version} = route;
    const members = () =>
      version === undefined ? this.pools.get(pool) : this.versions.get(version);
    this.rebuild(
      members() ? this.rebuildIntervalMs : EMPTY_GROUP_REBUILD_INTERVAL_MS,
    );
    const key = formatKey(route);
    let group = this.groups.get(key);
    if (!group) {
      const list = (members() ?? []).filter(
        each => each.stats.endpoint.pool === pool,
      );
      if (list.length === 0) return undefined;
      group = buildGroup(list, this.getBaseline(route));
      this.groups.set(key, group);
    }
    return group;
  }

  /** Returns the measurements of an endpoint, created on first use. */
  getMember(endpoint: Endpoint): GroupMember {
    let member = this.members.get(endpoint);
    if (!member) {
      member = this.createMember(endpoint);
      this.members.set(endpoint, member);
    }
    return member;
  }

  private createMember(endpoint: Endpoint): GroupMember {
    const {clock, gateway, region, dataCentre} = this.options;
    const near = endpoint.region === region;
    return {
      stats: new EndpointStats(endpoint, clock),
      ejection: new EndpointEjection(clock),
      rank: hashRank(gateway, endpoint.name),
      distance: !near ? 2 : endpoint.dataCentre === dataCentre ? 0 : 1,
    };
  }

  /** Rebuilds the groups if they are at least `ageMs` old. */
  private rebuild(ageMs: number): void {
    const now = this.options.clock.monotonic();
    if (now - this.builtAt < ageMs) return;
    this.builtAt = now;
    this.pools = new Map();
    this.measures = new Map();
    this.groups = new Map();
    this.versions = new Map();
    this.served = new Set();
    const listed = this.options.listEndpoints();
    const members = new Map<Endpoint, GroupMember>();
    for (const endpoint of listed) {
      if (endpoint.leaving) continue;
      const member = this.getMember(endpoint);
      members.set(endpoint, member);
      const {pool, versions} = endpoint;
      append(this.pools, pool, member);
      for (const version of versions) {
        this.served.add(version);
        append(this.versions, version, member);
      }
    }
    this.members = members;
    const intervalMs = listed.length * REBUILD_INTERVAL_MS_PER_ENDPOINT;
    this.rebuildIntervalMs = Math.max(REBUILD_INTERVAL_MS, intervalMs);
  }
}

function sumMembers(members: readonly GroupMember[]): PoolMeasure {
  let slots = 0;
  let free = 0;
  let endpoints = 0;
  for (const {stats} of members) {
    if (stats.endpoint.leaving) continue;
    endpoints++;
    slots += stats.endpoint.slots;
    free += Math.max(0, stats.endpoint.slots - stats.estimateOtherLoad());
  }
  return {slots, free, endpoints};
}

function append<T>(lists: Map<string, T[]>, key: string, value: T): void {
  const list = lists.get(key);
  if (list) list.push(value);
  else lists.set(key, [value]);
}

function formatKey({pool, version = ''}: GroupKey): string {
  return `${pool}\u0000${version}`;
}

function hashRank(gateway: string, endpoint: string): number {
  return createHash('sha1')
    .update(`${gateway}\u0000${endpoint}`)
    .digest()
    .readUInt32BE(0);
}
