/** The command `recover`, for a permanent loss of the majority of voters. */
import {readFile, readdir} from 'node:fs/promises';
import {join} from 'node:path';
import type {Command} from 'commander';
import {settingsSchema, type Settings} from '../../protocol/settings.ts';
import {formatIssue, parseToml} from '../../protocol/toml.ts';
import {lockFolder} from '../../state/files/folder_lock.ts';
import {openFileLog, type FileLog} from '../../state/log/file_log.ts';
import {describeLog, recoverLog} from '../../state/log/recover_log.ts';

interface RecoverOptions {
  readonly settings: string;
  readonly acceptLoss: boolean;
}

/** Adds the command to `program`. */
export function addRecoverCommand(program: Command): void {
  program
    .command('recover')
    .description(
      'make the replicas on this disk the only voters, while no daemon runs',
    )
    .requiredOption('--settings <file>', 'the settings file of this host')
    .option(
      '--accept-loss',
      'recover; without this flag, only print what would be lost',
      false,
    )
    .action(async (options: RecoverOptions) => recover(options));
}

async function recover({settings: file, acceptLoss}: RecoverOptions) {
  const parsed = parseToml(await readFile(file, 'utf8'), settingsSchema);
  if (!parsed.ok) {
    for (const issue of parsed.error) console.error(formatIssue(file, issue));
    process.exitCode = 2;
    return;
  }
  const {value: settings} = parsed;
  if (settings.data_folder === undefined) {
    throw new Error(`Could not recover: "${file}" names no data folder`);
  }
  const lock = await lockFolder(settings.data_folder);
  if (!lock.ok) throw lock.error;
  await using _lock = lock.value;
  const names = await readdir(settings.data_folder, {withFileTypes: true});
  const groups = names
    .filter(entry => entry.isDirectory() && !entry.name.includes('.damaged-'))
    .map(entry => entry.name);
  for (const group of groups) {
    await using log = await openGroup(settings, group);
    printReport(settings.name, group, log);
    if (!acceptLoss || describeLog(log).voters.length === 0) continue;
    await recoverLog(log, settings.name);
    console.log(`  recovered: ${settings.name} is the only voter now`);
  }
  if (acceptLoss) return;
  console.log('Nothing was changed. Add --accept-loss to go on.');
  process.exitCode = 1;
}

async function openGroup(settings: Settings, group: string): Promise<FileLog> {
  const folder = join(settings.data_folder ?? '', group);
  const log = await openFileLog({folder});
  if (!log.ok) throw log.error;
  return log.value;
}

function printReport(name: string, group: string, log: FileLog): void {
  const {voters, lastIndex, lastTerm, snapshotIndex} = describeLog(log);
  if (voters.length === 0) {
    console.log(`${group}: this disk belongs to no group; nothing to recover`);
    return;
  }
  const others = voters
    .filter(voter => voter.incarnation !== log.incarnation)
    .map(voter => voter.name);
  const list = others.join(', ') || 'no other host';
  console.log(
    `${group}: this disk holds entries up to ${lastIndex} (term ${lastTerm}), ${snapshotIndex} of them surely committed`,
  );
  console.log(
    `  lost: every change after entry ${lastIndex} that ${list} confirmed without ${name}`,
  );
  console.log(
    `  kept: also changes up to entry ${lastIndex} that were never confirmed to anyone`,
  );
  if (others.length > 0) {
    console.log(
      `  first: erase the data folders of ${list}, or two systems will answer`,
    );
  }
}
