/** The command `serve`, which runs the daemon of a host. */
import {readFile} from 'node:fs/promises';
import type {Command} from 'commander';
import {settingsSchema, type Settings} from '../../protocol/settings.ts';
import {formatIssue, parseToml} from '../../protocol/toml.ts';
import {waitForSignal} from '../serve/wait_for_signal.ts';

/** Adds the command to `program`. */
export function addServeCommand(program: Command): void {
  program
    .command('serve')
    .description('run the daemon of this host until a signal ends it')
    .requiredOption('--settings <file>', 'the settings file')
    .action(async (options: {settings: string}) => serve(options.settings));
}

async function serve(file: string): Promise<void> {
  const settings = await readSettings(file);
  if (!settings) {
    process.exitCode = 2;
    return;
  }
  const {createLoggerFactory} =
    await import('../../transport/logging/create_logger.ts');
  const {startDaemon} = await import('../serve/daemon.ts');
  const createLogger = createLoggerFactory(settings.log);
  const daemon = await startDaemon(settings, createLogger);
  const signal = await waitForSignal();
  createLogger('daemon').info('Shuts down.', {signal});
  await daemon[Symbol.asyncDispose]();
  createLogger('daemon').info('Stopped.');
  process.exit(0);
}

async function readSettings(file: string): Promise<Settings | null> {
  const parsed = parseToml(await readFile(file, 'utf8'), settingsSchema);
  if (parsed.ok) return parsed.value;
  for (const issue of parsed.error) console.error(formatIssue(file, issue));
  return null;
}
