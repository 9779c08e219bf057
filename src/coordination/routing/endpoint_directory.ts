/** Groups the live endpoints by what they serve, with what is learned. */
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

/** What a group serves: a version of a pool, or the pool's service. */
export interface GroupKey {
  readonly pool: string;
  /** The version as `model/version`. */
  readonly version?: string;
}

/** How long the groups are used at least before they are built again. */
const REBUILD_INTERVAL_MS = 100;

/** What each endpoint adds to that time. */
const REBUILD_INTERVAL_MS_PER_ENDPOINT = 0.5;

/** How long an empty group is believed to be empty. */
const EMPTY_GROUP_REBUILD_INTERVAL_MS = 10;

/** Holds the groups, built anew from time to time. */
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

  /** Versions that an endpoint takes work for. */
  listServed(): ReadonlySet<string> {
    this.rebuild(this.rebuildIntervalMs);
    return this.served;
  }

  /** Adds up the endpoints of a pool, as of the last build. */
  measurePool(pool: string): PoolMeasure {
    this.rebuild(this.rebuildIntervalMs);
    let measure = this.measures.get(pool);
    if (!measure) {
      measure = sumMembers(this.pools.get(pool) ?? []);
      this.measures.set(pool, measure);
    }
    return measure;
  }

  /** What is usual for a group's work, to be kept up to date in place. */
  getBaseline(route: GroupKey): BaselineSpeed {
    const key = formatKey(route);
    let baseline = this.baselines.get(key);
    if (!baseline) {
      baseline = {firstTokenMs: null, tokenGapMs: null};
      this.baselines.set(key, baseline);
    }
    return baseline;
  }

  /** The endpoints of a group; undefined when there are none. */
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

  /** What is learned of one endpoint. */
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

  /** Builds the groups when the last ones are older than `ageMs`. */
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
    // A long list is built less often, so that its share of time stays small.
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
