/** What the parts of a site daemon are built from. */
import type {Clock} from '../../protocol/clock.ts';
import type {CoreService} from '../../protocol/core_service.ts';
import type {CreateLogger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {SiteSettings} from '../../protocol/site_settings.ts';
import {splitAddress} from '../../protocol/split_address.ts';
import {
  startApiServer,
  type ApiRoute,
} from '../../transport/forwarding/api_server.ts';
import type {PeerLinks} from '../../transport/peers/peer_links.ts';
import type {DisposableStore} from '../serve/disposable_store.ts';
import type {ListGateways, SiteSurfaces} from './surfaces.ts';

/**
 * How long callers keep an answer of the directory: a gateway that left is
 * forgotten within it, at one small call a caller each time.
 */
export const DIRECTORY_TTL_S = 1.5;

export interface SiteParts {
  /** The settings in force; a reload replaces them. */
  readonly getSettings: () => SiteSettings;
  readonly surfaces: SiteSurfaces;
  readonly createLogger: CreateLogger;
  readonly clock: Clock;
  /**
   * For leases. A jump of the time of day ends them, as a suspension would;
   * nothing else may hang on it.
   */
  readonly leaseClock: Clock;
  readonly metrics: Metrics;
  readonly links: PeerLinks<CoreService>;
  readonly secret: string;
  /** Owns what the parts open. */
  readonly store: DisposableStore;
}

/**
 * The peer addresses of the seeds: the settings name their control addresses,
 * and every daemon of the core listens for peers on the same port.
 */
export function listSeedPeers({seeds, listen}: SiteSettings): string[] {
  const [, port] = splitAddress(listen.peers);
  return seeds.map(seed => `${splitAddress(seed)[0]}:${port}`);
}

/** Serves `routes` at `address`, where the settings name one. */
export async function startSurface(
  {store, createLogger}: SiteParts,
  address: string | undefined,
  routes: readonly ApiRoute[],
): Promise<void> {
  if (address === undefined) return;
  const [host, port] = splitAddress(address);
  const logger = createLogger('http');
  store.add(await startApiServer({host, port, logger, routes}));
}

/** Serves callers that look for gateways, where the settings say so. */
export async function startDirectory(
  parts: SiteParts,
  listGateways: ListGateways,
): Promise<void> {
  const {listen, bounds} = parts.getSettings();
  const ttlSeconds = Math.min(DIRECTORY_TTL_S, bounds.directory_ttl_max_s);
  const {surfaces} = parts;
  const routes = surfaces.createDirectoryRoutes({listGateways, ttlSeconds});
  await startSurface(parts, listen.directory, routes);
}
