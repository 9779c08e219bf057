/** Runs a site daemon until it receives a termination signal. */
import {systemClock} from '../../protocol/clock.ts';
import {startPeriodicTask} from '../../coordination/periodic_task.ts';
import {createLoggerFactory} from '../../transport/logging/create_logger.ts';
import {waitForSignal} from '../serve/wait_for_signal.ts';
import {startSiteDaemon} from './daemon.ts';
import {guardGateway} from './guard_gateway.ts';
import {SettingsSource} from './settings_source.ts';
import type {SiteSurfaces} from './surfaces.ts';

/** The polling interval of the settings file; a change may send no signal. */
const RELOAD_MS = 1_000;

/** The exit code for invalid settings. */
const EXIT_SETTINGS = 2;

/** The exit code for too many uncaught errors. */
const EXIT_ERRORS = 70;

/** Runs the daemon configured by a settings file. */
export async function serveSite(
  file: string,
  surfaces: SiteSurfaces,
): Promise<void> {
  const opened = await SettingsSource.open(file);
  if (!opened.ok) {
    console.error(opened.error);
    process.exitCode = EXIT_SETTINGS;
    return;
  }
  const source = opened.value;
  const createLogger = createLoggerFactory({
    ...source.settings.log,
    stream: process.stdout,
  });
  const logger = createLogger('daemon');
  source.reportRefused(logger);
  const reportFailure = ({message: reason}: Error) =>
    logger.error('Could not reload the settings file.', {reason});
  process.on('SIGHUP', () => {
    source.reload('SIGHUP', logger).catch(reportFailure);
  });
  const reloads = startPeriodicTask({
    clock: systemClock,
    intervalMs: RELOAD_MS,
    step: () => source.reload('change', logger),
    onError: reportFailure,
  });
  const daemon = await startSiteDaemon({
    getSettings: () => source.settings,
    surfaces,
    createLogger,
  });
  const {listen, data_folder: dataFolder} = source.settings;
  if (listen.front !== undefined && dataFolder === undefined) {
    guardGateway({
      source: process,
      clock: systemClock,
      logger,
      abort: () => process.exit(EXIT_ERRORS),
    });
  }
  const signal = await waitForSignal();
  logger.info('Shuts down.', {signal});
  await daemon[Symbol.asyncDispose]();
  await reloads[Symbol.asyncDispose]();
  logger.info('Stopped.');
  process.exit(0);
}
