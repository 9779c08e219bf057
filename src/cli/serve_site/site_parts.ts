/** What the parts of a site daemon are built from. */
import type {Clock} from '../../protocol/clock.ts';
import type {CoreService} from '../../protocol/core_service.ts';
import type {CreateLogger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {SiteSettings} from '../../protocol/site_settings.ts';
import type {PeerLinks} from '../../transport/peers/peer_links.ts';
import type {DisposableStore} from '../serve/disposable_store.ts';
import type {SiteSurfaces} from './surfaces.ts';

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
  readonly metrics: Metrics;
  readonly links: PeerLinks<CoreService>;
  readonly secret: string;
  /** Owns what the parts open. */
  readonly store: DisposableStore;
}

/** The host and the port of an address. */
export function splitAddress(address: string): [string, number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}

/**
 * The peer addresses of the seeds: the settings name their control addresses,
 * and every daemon of the core listens for peers on the same port.
 */
export function listSeedPeers({seeds, listen}: SiteSettings): string[] {
  const [, port] = splitAddress(listen.peers);
  return seeds.map(seed => `${splitAddress(seed)[0]}:${port}`);
}
