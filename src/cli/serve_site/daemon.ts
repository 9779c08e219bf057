/** Puts the parts of a site daemon together and runs them. */
import {createSuspendAwareClock, type Clock} from '../../protocol/clock.ts';
import {coreSchemas, type CoreService} from '../../protocol/core_service.ts';
import type {CreateLogger} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import type {SiteSettings} from '../../protocol/site_settings.ts';
import {PeerLinks} from '../../transport/peers/peer_links.ts';
import {DisposableStore} from '../serve/disposable_store.ts';
import {readSecret} from '../serve/secrets.ts';
import {startCore} from './core.ts';
import {startGateway, type SiteGateway} from './gateway.ts';
import type {SiteSurfaces} from './surfaces.ts';

export interface SiteDaemonOptions {
  readonly getSettings: () => SiteSettings;
  readonly surfaces: SiteSurfaces;
  readonly createLogger: CreateLogger;
  readonly clock?: Clock;
}

/** Starts a daemon; disposing it lets open requests end first. */
export async function startSiteDaemon(
  options: SiteDaemonOptions,
): Promise<AsyncDisposable> {
  const {getSettings, surfaces, createLogger} = options;
  const clock = options.clock ?? createSuspendAwareClock();
  const settings = getSettings();
  const store = new DisposableStore();
  const secret = await readSecret(settings.peer_secret_file);
  const calls = Object.keys(coreSchemas);
  const links = store.add(new PeerLinks<CoreService>({secret, clock, calls}));
  const parts = {
    getSettings,
    surfaces,
    createLogger,
    clock,
    metrics: silentMetrics,
    links,
    secret,
    store,
  };
  let gateway: SiteGateway | null = null;
  try {
    if (settings.data_folder !== undefined) await startCore(parts);
    const {front} = settings.listen;
    if (front !== undefined) gateway = await startGateway(parts, front);
  } catch (error) {
    await store[Symbol.asyncDispose]();
    throw error;
  }
  const {name, listen, seeds, bootstrap} = settings;
  createLogger('daemon').info('Started.', {name, listen, seeds, bootstrap});
  return {
    async [Symbol.asyncDispose]() {
      await gateway?.stop();
      await store[Symbol.asyncDispose]();
    },
  };
}
