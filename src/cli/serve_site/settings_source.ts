/** Reloads the settings of a running daemon when the file changes. */
import {readFileSync} from 'node:fs';
import type {Logger} from '../../protocol/logger.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import {
  siteSettingsSchema,
  type SiteSettings,
} from '../../protocol/site_settings.ts';
import {formatIssue, parseToml} from '../../protocol/toml.ts';

/** The current settings and the file that they were read from. */
export class SettingsSource {
  private constructor(
    private readonly file: string,
    private text: string,
    private current: SiteSettings,
  ) {}

  /** Reads the file; fails with the reasons if it is invalid. */
  static async open(file: string): Promise<Outcome<SettingsSource, string>> {
    const text = readFileSync(file, 'utf8');
    const parsed = parseSettings(file, text);
    return parsed.ok
      ? succeed(new SettingsSource(file, text, parsed.value))
      : parsed;
  }

  get settings(): SiteSettings {
    return this.current;
  }

  /** Rereads the file; an invalid one leaves the settings unchanged. */
  async reload(cause: string, logger: Logger): Promise<void> {
    // For a small file, a synchronous read is faster than a wake-up of a
    // thread in Node's pool.
    const text = readFileSync(this.file, 'utf8');
    if (text === this.text) return;
    this.text = text;
    const parsed = parseSettings(this.file, text);
    if (!parsed.ok) {
      logger.error(
        'Keeps the previous settings: the settings file is invalid.',
        {cause, reason: parsed.error},
      );
      return;
    }
    this.current = parsed.value;
    const {seeds, bounds} = parsed.value;
    this.reportRefused(logger);
    logger.info('Reloads the settings file.', {cause, seeds, bounds});
  }

  /** Logs how many seeds of the file are no addresses. */
  reportRefused(logger: Logger): void {
    const {seeds, refusedSeeds: refused} = this.current;
    if (refused === 0) return;
    logger.warn('Leaves out seeds that are no addresses.', {refused, seeds});
  }
}

function parseSettings(
  file: string,
  text: string,
): Outcome<SiteSettings, string> {
  const parsed = parseToml(text, siteSettingsSchema);
  if (parsed.ok) return succeed(parsed.value);
  return fail(parsed.error.map(issue => formatIssue(file, issue)).join('\n'));
}
