/** Runs a site daemon until a signal ends it. */
import {readFile} from 'node:fs/promises';
import {systemClock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import {
  siteSettingsSchema,
  type SiteSettings,
} from '../../protocol/site_settings.ts';
import {formatIssue, parseToml} from '../../protocol/toml.ts';
import {startPeriodicTask} from '../../coordination/periodic_task.ts';
import {createLoggerFactory} from '../../transport/logging/create_logger.ts';
import {waitForSignal} from '../serve/wait_for_signal.ts';
import {startSiteDaemon} from './daemon.ts';
import type {SiteSurfaces} from './surfaces.ts';

/** How often the settings file is read again; it may change silently. */
const RELOAD_MS = 1_000;

/** The exit code for settings that cannot be used. */
const EXIT_SETTINGS = 2;

/** Runs the daemon that a settings file describes. */
export async function serveSite(
  file: string,
  surfaces: SiteSurfaces,
): Promise<void> {
  const first = await readSettings(file);
  if (!first.ok) {
    console.error(first.error);
    process.exitCode = EXIT_SETTINGS;
    return;
  }
  const createLogger = createLoggerFactory({
    ...first.value.log,
    stream: process.stdout,
  });
  const logger = createLogger('daemon');
  const source = new SettingsSource(file, first.value, logger);
  process.on('SIGHUP', () => void source.reload('SIGHUP'));
  const reloads = startPeriodicTask({
    clock: systemClock,
    intervalMs: RELOAD_MS,
    step: () => source.reload('change'),
    onError: error =>
      logger.error('Could not reload.', {reason: error.message}),
  });
  const daemon = await startSiteDaemon({
    getSettings: () => source.settings,
    surfaces,
    createLogger,
  });
  const signal = await waitForSignal();
  logger.info('Shuts down.', {signal});
  await daemon[Symbol.asyncDispose]();
  await reloads[Symbol.asyncDispose]();
  logger.info('Stopped.');
  process.exit(0);
}

/** Holds the settings in force. */
class SettingsSource {
  private text = '';

  constructor(
    private readonly file: string,
    public settings: SiteSettings,
    private readonly logger: Logger,
  ) {}

  /** Reads the file again; settings that are invalid change nothing. */
  async reload(cause: string): Promise<void> {
    const text = await readFile(this.file, 'utf8');
    if (text === this.text) return;
    const isFirst = this.text === '';
    this.text = text;
    if (isFirst) return;
    const parsed = parseSettings(this.file, text);
    if (!parsed.ok) {
      this.logger.error('Keeps its settings.', {cause, reason: parsed.error});
      return;
    }
    this.settings = parsed.value;
    const {seeds, bounds} = parsed.value;
    this.logger.info('Reloads its settings.', {cause, seeds, bounds});
  }
}

async function readSettings(
  file: string,
): Promise<Outcome<SiteSettings, string>> {
  return parseSettings(file, await readFile(file, 'utf8'));
}

function parseSettings(
  file: string,
  text: string,
): Outcome<SiteSettings, string> {
  const parsed = parseToml(text, siteSettingsSchema);
  if (parsed.ok) return succeed(parsed.value);
  return fail(parsed.error.map(issue => formatIssue(file, issue)).join('\n'));
}
