/**
 * Makes the replicas on the disk of this host the only voters of their groups.
 *
 * Fails while a daemon of this host runs, since it has the same files open.
 */
import {once} from 'node:events';
import {readFile, readdir} from 'node:fs/promises';
import {connect} from 'node:net';
import {join} from 'node:path';
import * as z from 'zod';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import {settingsSchema} from '../../protocol/settings.ts';
import {siteSettingsSchema} from '../../protocol/site_settings.ts';
import {splitAddress} from '../../protocol/address.ts';
import {formatIssue, parseToml, type TomlIssue} from '../../protocol/toml.ts';
import {lockFolder} from '../../state/files/folder_lock.ts';
import {openFileLog} from '../../state/log/file_log.ts';
import {
  describeLog,
  recoverLog,
  type LogReport,
} from '../../state/log/recover_log.ts';

/** The exit code if nothing was changed. */
const EXIT_UNCHANGED = 1;

/** The exit code for invalid settings. */
const EXIT_SETTINGS = 2;

/** The timeout for a connection to a daemon of this host. */
const CONNECT_TIMEOUT_MS = 1_000;

/** What the settings say of the replicas on this host. */
interface ReplicaSettings {
  /** The name of this host's replicas in their groups. */
  readonly name: string;
  readonly dataFolder: string | undefined;
  /** Where a daemon of this host listens for other daemons. */
  readonly address: string;
}

export interface RecoverReplicasOptions {
  /** Whether to recover; otherwise only prints what would be lost. */
  readonly acceptLoss: boolean;
  /** Prints one line; to the standard output by default. */
  readonly print?: (line: string) => void;
}

/**
 * Recovers all replicas that the settings in `file` name. Returns the exit code
 * of the command.
 */
export async function recoverReplicas(
  file: string,
  {acceptLoss, print = console.log}: RecoverReplicasOptions,
): Promise<number> {
  const parsed = parseReplicaSettings(await readFile(file, 'utf8'));
  if (!parsed.ok) {
    for (const issue of parsed.error) print(formatIssue(file, issue));
    return EXIT_SETTINGS;
  }
  const {name, dataFolder, address} = parsed.value;
  if (dataFolder === undefined) {
    throw new Error(`Could not recover: "${file}" names no data folder`);
  }
  if (await isListening(address)) {
    throw new Error(`Could not recover: a daemon runs at ${address}`);
  }
  const lock = await lockFolder(dataFolder);
  if (!lock.ok) throw lock.error;
  await using _lock = lock.value;
  const names = await readdir(dataFolder, {withFileTypes: true});
  const groups = names
    .filter(entry => entry.isDirectory() && !entry.name.includes('.damaged-'))
    .map(entry => entry.name);
  for (const group of groups) {
    const opened = await openFileLog({folder: join(dataFolder, group)});
    if (!opened.ok) throw opened.error;
    await using log = opened.value;
    const report = describeLog(log);
    const {incarnation} = log;
    explainReport(report, {name, group, incarnation}).forEach(line =>
      print(line),
    );
    if (!acceptLoss || report.voters.length === 0) continue;
    await recoverLog(log, name);
    print(`  recovered: ${name} is the only voter now`);
  }
  if (acceptLoss) return 0;
  print('Nothing was changed. Add --accept-loss to go on.');
  return EXIT_UNCHANGED;
}

const kindSchema = z.looseObject({seeds: z.unknown().optional()});

/** Parses the settings of `serve` or, with `seeds`, of a routing site. */
function parseReplicaSettings(
  text: string,
): Outcome<ReplicaSettings, TomlIssue[]> {
  const kind = parseToml(text, kindSchema);
  if (!kind.ok) return kind;
  if (kind.value.seeds === undefined) {
    const parsed = parseToml(text, settingsSchema);
    if (!parsed.ok) return fail(parsed.error);
    const {name, data_folder: dataFolder, listen} = parsed.value;
    return succeed({name, dataFolder, address: listen.peers});
  }
  const parsed = parseToml(text, siteSettingsSchema);
  if (!parsed.ok) return fail(parsed.error);
  const {data_folder: dataFolder, listen} = parsed.value;
  return succeed({name: listen.peers, dataFolder, address: listen.peers});
}

/** Whether a process accepts connections at an address of this host. */
async function isListening(address: string): Promise<boolean> {
  const [host, port] = splitAddress(address);
  const socket = connect({host, port});
  try {
    await once(socket, 'connect', {
      signal: AbortSignal.timeout(CONNECT_TIMEOUT_MS),
    });
    return true;
  } catch {
    return false;
  } finally {
    socket.destroy();
  }
}

interface ExplainReportOptions {
  readonly name: string;
  readonly group: string;
  readonly incarnation: string;
}

/** Explains what a recovery from this log would lose. */
function explainReport(
  {voters, lastIndex, lastTerm, snapshotIndex}: LogReport,
  {name, group, incarnation}: ExplainReportOptions,
): string[] {
  if (voters.length === 0) {
    return [`${group}: this disk belongs to no group; nothing to recover`];
  }
  const others = voters
    .filter(voter => voter.incarnation !== incarnation)
    .map(voter => voter.name);
  const list = others.join(', ') || 'no other host';
  const lines = [
    `${group}: this disk holds entries up to ${lastIndex} (term ${lastTerm}), ${snapshotIndex} of them surely committed`,
    `  lost: every change after entry ${lastIndex} that ${list} confirmed without ${name}`,
    `  kept: also changes up to entry ${lastIndex} that were never confirmed to anyone`,
  ];
  if (others.length > 0) {
    lines.push(
      `  first: erase the data folders of ${list}, or two systems will answer`,
    );
  }
  return lines;
}
