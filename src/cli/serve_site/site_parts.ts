/** Dependencies shared by the components of a site daemon. */
import type {Clock} from '../../protocol/clock.ts';
import type {EntryMeter} from '../../coordination/core/entry_meter.ts';
import {
  GatewayNames,
  type GatewayNamesOptions,
} from '../../coordination/host_capacity/gateway_names.ts';
import type {CoreService} from '../../protocol/core_service.ts';
import type {CreateLogger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {RefusalLog} from '../../protocol/refusal_log.ts';
import type {SiteSettings} from '../../protocol/site_settings.ts';
import {splitAddress} from '../../protocol/address.ts';
import {
  startApiServer,
  type ApiRoute,
} from '../../transport/forwarding/api_server.ts';
import type {PeerLinks} from '../../transport/peers/peer_links.ts';
import type {DisposableStore} from '../serve/disposable_store.ts';
import type {Surface} from '../../coordination/memory_account/compute_bounds.ts';
import type {HostBounds} from './host_bounds.ts';
import type {SiteSurfaces} from './surfaces.ts';

/**
 * The TTL of directory answers. Callers stop using a removed gateway within
 * this time; in return each caller makes one small request per TTL.
 */
export const DIRECTORY_TTL_S = 1.5;

export interface SiteParts {
  /** Returns the current settings; a reload replaces them. */
  readonly getSettings: () => SiteSettings;
  readonly surfaces: SiteSurfaces;
  readonly createLogger: CreateLogger;
  readonly clock: Clock;
  /**
   * The clock for leases only. A forward step of the wall clock expires them,
   * as a suspension of the machine does; nothing else may depend on it.
   */
  readonly leaseClock: Clock;
  readonly metrics: Metrics;
  /** Counts the entries that daemons tell each other. */
  readonly entries: EntryMeter;
  /** Bounds memory and connections. */
  readonly host: HostBounds;
  readonly links: PeerLinks<CoreService>;
  /** Logs the entries that are dropped from messages of other daemons. */
  readonly refusals: RefusalLog;
  readonly secret: string;
  /** Owns the resources that the components open. */
  readonly store: DisposableStore;
}

/**
 * Lists the peer addresses of the seeds. The settings contain their control
 * addresses; all core daemons use the same port for peers.
 */
export function listSeedPeers({seeds, listen}: SiteSettings): string[] {
  const [, port] = splitAddress(listen.peers);
  return seeds.map(seed => `${splitAddress(seed)[0]}:${port}`);
}

/** Serves `routes` at the address of `surface`, if it is configured. */
export async function startSurface(
  {store, createLogger, getSettings, host: {memory, connections}}: SiteParts,
  surface: Exclude<Surface, 'front' | 'peers'>,
  routes: readonly ApiRoute[],
): Promise<void> {
  const address = getSettings().listen[surface];
  if (address === undefined) return;
  const [host, port] = splitAddress(address);
  const logger = createLogger('http');
  store.add(
    await startApiServer({
      host,
      port,
      logger,
      routes,
      memory,
      maxConnections: connections[surface],
    }),
  );
}

/** Serves the gateway directory if its address is configured. */
export async function startDirectory(
  parts: SiteParts,
  known: Pick<GatewayNamesOptions, 'listGateways' | 'getTable'>,
): Promise<void> {
  const {clock, metrics, surfaces} = parts;
  const {bounds} = parts.getSettings();
  const names = new GatewayNames({
    clock,
    metrics,
    random: Math.random,
    ...known,
  });
  const ttlSeconds = Math.min(DIRECTORY_TTL_S, bounds.directory_ttl_max_s);
  const routes = surfaces.createDirectoryRoutes({
    listGateways: caller => names.list(caller),
    ttlSeconds,
  });
  await startSurface(parts, 'directory', routes);
}
