/** Assembles the components of a site daemon and runs them. */
import {
  createSuspendAwareClock,
  systemClock,
  type Clock,
} from '../../protocol/clock.ts';
import {
  coreReplySchemas,
  coreSchemas,
  type CoreService,
} from '../../protocol/core_service.ts';
import {EntryMeter} from '../../coordination/core/entry_meter.ts';
import type {CreateLogger} from '../../protocol/logger.ts';
import {RefusalLog} from '../../protocol/refusal_log.ts';
import type {SiteSettings} from '../../protocol/site_settings.ts';
import type {ApiRoute} from '../../transport/forwarding/api_server.ts';
import {
  createTextMetrics,
  type TextMetrics,
} from '../../transport/metrics/text_metrics.ts';
import {PeerLinks} from '../../transport/peers/peer_links.ts';
import {TrafficMeter} from '../../transport/peers/traffic_meter.ts';
import {DisposableStore} from '../serve/disposable_store.ts';
import {readSecret} from '../serve/secrets.ts';
import {openHostBounds} from './host_bounds.ts';
import {startCore} from './core.ts';
import {startGateway, type SiteGateway} from './gateway.ts';
import {startLoadWatch} from './load_watch.ts';
import {startSurface, type SiteParts} from './site_parts.ts';
import type {SiteSurfaces} from './surfaces.ts';

export interface SiteDaemonOptions {
  readonly getSettings: () => SiteSettings;
  readonly surfaces: SiteSurfaces;
  readonly createLogger: CreateLogger;
  readonly clock?: Clock;
}

/** Starts a daemon; its disposal waits for open requests first. */
export async function startSiteDaemon(
  options: SiteDaemonOptions,
): Promise<AsyncDisposable> {
  const {getSettings, surfaces, createLogger} = options;
  const clock = options.clock ?? systemClock;
  const settings = getSettings();
  const store = new DisposableStore();
  const secret = await readSecret(settings.peer_secret_file);
  const metrics = createTextMetrics();
  const calls = Object.keys(coreSchemas);
  const refusals = new RefusalLog({clock, logger: createLogger('peers')});
  const meter = new TrafficMeter();
  const entries = new EntryMeter();
  const links = store.add(
    new PeerLinks<CoreService>({
      secret,
      clock,
      calls,
      replySchemas: coreReplySchemas,
      refusals,
      meter,
    }),
  );
  store.add(
    startLoadWatch({
      clock,
      logger: createLogger('load'),
      metrics,
      readUsage: () => process.cpuUsage(),
      takeTraffic: () => meter.take(),
      takeEntries: () => entries.take(),
    }),
  );
  const parts: SiteParts = {
    getSettings,
    surfaces,
    createLogger,
    clock,
    leaseClock: createSuspendAwareClock(clock),
    metrics,
    entries,
    host: openHostBounds({settings, clock, metrics, createLogger, store}),
    links,
    refusals,
    secret,
    store,
  };
  let gateway: SiteGateway | null = null;
  try {
    await startSurface(parts, 'metrics', createMetricsRoutes(metrics));
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

/** Creates the routes of the metrics address. */
function createMetricsRoutes(metrics: TextMetrics): ApiRoute[] {
  return [
    {
      method: 'GET',
      path: '/metrics',
      handle: async () => ({
        status: 200,
        type: 'text/plain; version=0.0.4',
        text: await metrics.formatText(),
      }),
    },
  ];
}
