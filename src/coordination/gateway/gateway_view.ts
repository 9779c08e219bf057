/**
 * One gateway's view of the configuration in force and of the endpoints.
 *
 * The revision of the configuration never decreases while the process runs. A
 * gateway without contact to the core continues with its last known state.
 */
import type {
  Configuration,
  CoreDaemon,
  EndpointLimit,
  EndpointLoad,
  FollowReply,
  ServiceRollout,
} from '../../protocol/core_service.ts';
import type {Gateway} from '../../protocol/gateway_entry.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Outcome} from '../../protocol/outcome.ts';
import type {RouteTable} from '../../protocol/route_table.ts';
import type {SuspectRecord} from '../../protocol/suspect.ts';
import {RouteIndex} from './route_index.ts';

export interface GatewayViewOptions {
  readonly logger: Logger;
  /** Decodes the operator's document. */
  readonly decodeTable: (document: string) => Outcome<RouteTable, string>;
  /** Called when a new document is in force. */
  readonly onConfiguration?: (index: RouteIndex) => void;
  /** Called when data centres are not drained any more. */
  readonly onRestored?: (dataCentres: readonly string[]) => void;
  /** Called with each entry of an endpoint that is applied. */
  readonly onEndpoint?: (entry: EndpointEntry) => void;
  /** Called with limits that gateways observed. */
  readonly onLimits?: (limits: readonly EndpointLimit[]) => void;
  /** Called with suspected parts of prompts that gateways observed. */
  readonly onSuspects?: (records: readonly SuspectRecord[]) => void;
}

export class GatewayView {
  private index: RouteIndex | null = null;
  private configuration: Configuration = {
    revision: 0,
    version: null,
    document: null,
    rollouts: [],
  };
  private readonly endpoints = new Map<string, EndpointEntry>();
  private loads = new Map<string, EndpointLoad>();
  private coreDaemons: readonly CoreDaemon[] = [];
  private silentCores: readonly string[] = [];
  private openList: readonly Gateway[] = [];

  constructor(private readonly options: GatewayViewOptions) {}

  /** The routes in force; `null` before any configuration is known. */
  get routes(): RouteIndex | null {
    return this.index;
  }

  get revision(): number {
    return this.configuration.revision;
  }

  /** The version of the document in force; `null` before any is known. */
  get version(): number | null {
    return this.index === null ? null : this.configuration.version;
  }

  /** The core daemons, as last reported. */
  get cores(): readonly CoreDaemon[] {
    return this.coreDaemons;
  }

  /** Whether other core daemons lately did not hear from one. */
  isCoreSilent(address: string): boolean {
    return this.silentCores.includes(address);
  }

  /** The number of open gateways, this one included. */
  get gatewayCount(): number {
    return Math.max(1, this.openList.length);
  }

  /** The gateways that callers may be directed to, as last reported. */
  get openGateways(): readonly Gateway[] {
    return this.openList;
  }

  /** Whether the endpoints of a data centre get no requests. */
  isDrained(dataCentre: string): boolean {
    return this.configuration.drained?.includes(dataCentre) ?? false;
  }

  findRollout(service: string): ServiceRollout | null {
    const {rollouts} = this.configuration;
    return rollouts.find(rollout => rollout.service === service) ?? null;
  }

  /** Lists the endpoints of a service that are not gone. */
  listEndpoints(service: string): EndpointEntry[] {
    return [...this.endpoints.values()].filter(
      each => each.service === service && each.state !== 'gone',
    );
  }

  /** Lists the endpoints in some data centres that are not gone. */
  listEndpointsIn(dataCentres: readonly string[]): EndpointEntry[] {
    return [...this.endpoints.values()].filter(
      each => dataCentres.includes(each.dataCentre) && each.state !== 'gone',
    );
  }

  /** Finds an endpoint as last reported; `null` when it is unknown. */
  findEndpoint(id: string): EndpointEntry | null {
    return this.endpoints.get(id) ?? null;
  }

  /** Returns the load of an endpoint by other gateways. */
  getOtherLoad(id: string): EndpointLoad {
    return this.loads.get(id) ?? {id, open: 0, readingMs: 0};
  }

  /** Applies the reply of a core daemon. */
  apply(reply: FollowReply): void {
    if (reply.configuration) this.applyConfiguration(reply.configuration);
    for (const entry of reply.endpoints) this.applyEndpoint(entry);
    if (reply.complete && reply.settled && reply.fresh) {
      this.removeUnlisted(reply.endpoints);
    }
    if (reply.loads) {
      this.loads = new Map(
        reply.loads.map(({id, open, readingMs = 0}) => [
          id,
          {id, open, readingMs},
        ]),
      );
    }
    if (reply.cores) this.coreDaemons = reply.cores;
    this.silentCores = reply.fresh ? (reply.silentCores ?? []) : [];
    if (reply.openGateways) this.openList = reply.openGateways;
    if (reply.limits) this.options.onLimits?.(reply.limits);
    if (reply.suspects) this.options.onSuspects?.(reply.suspects);
  }

  private applyConfiguration(next: Configuration): void {
    const {revision, version} = this.configuration;
    if (next.revision <= revision) return;
    if (next.version !== version && next.document !== null) {
      const decoded = this.options.decodeTable(next.document);
      if (!decoded.ok) {
        this.options.logger.error('Rejects an undecodable configuration.', {
          version: next.version,
          reason: decoded.error,
        });
        return;
      }
      this.index = new RouteIndex(decoded.value);
      this.options.onConfiguration?.(this.index);
    }
    const {drained: previous = []} = this.configuration;
    this.configuration = next;
    const {drained = []} = next;
    const restored = previous.filter(each => !drained.includes(each));
    if (restored.length > 0) this.options.onRestored?.(restored);
    this.options.logger.info('Applies a configuration.', {
      revision: next.revision,
      version: next.version,
      drained,
      rollouts: next.rollouts.map(
        ({service, target, state, share}) =>
          `${service}/${target} ${state} ${share}`,
      ),
    });
  }

  private applyEndpoint(entry: EndpointEntry): void {
    const known = this.endpoints.get(entry.id);
    // Another core daemon may lag behind the one followed before.
    if (known && known.startedAtMs > entry.startedAtMs) return;
    const isSameStart = known?.startedAtMs === entry.startedAtMs;
    if (isSameStart && known.state !== 'ready' && entry.state === 'ready') {
      return;
    }
    this.endpoints.set(entry.id, entry);
    this.options.onEndpoint?.(entry);
    if (entry.state === 'ready' || known?.state === entry.state) return;
    const {id, address, startedAtMs, state} = entry;
    this.options.logger.info('Learns that an endpoint leaves.', {
      endpoint: id,
      address,
      startedAtMs,
      state,
    });
  }

  /** Removes endpoints that are missing in a complete list. */
  private removeUnlisted(entries: readonly EndpointEntry[]): void {
    const known = new Set(entries.map(({id}) => id));
    for (const id of this.endpoints.keys()) {
      if (!known.has(id)) this.endpoints.delete(id);
    }
  }
}
