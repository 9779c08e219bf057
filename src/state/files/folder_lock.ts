/**
 * Prevents two processes from using the same data folder.
 *
 * The lock file identifies its process by process id, start time and boot id,
 * so a lock left by a dead process or an earlier boot is recognized as stale.
 */
import {mkdir, readFile, rm, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import {FolderLockedError} from '../errors.ts';

/** The index of the start time after the name in `/proc/PID/stat`. */
const START_TIME_FIELD = 19;

/** Locks `folder` until the returned value is disposed. */
export async function lockFolder(
  folder: string,
): Promise<Outcome<AsyncDisposable, Error>> {
  await mkdir(folder, {recursive: true});
  const path = join(folder, 'lock');
  const own = await describeProcess(process.pid);
  const holder = await readFile(path, 'utf8').catch(() => null);
  if (holder !== null && holder !== own && (await isAlive(holder))) {
    const message = `Could not lock "${folder}": process ${holder.split(' ')[0]} uses it`;
    return fail(new FolderLockedError(message));
  }
  await rm(path, {force: true});
  try {
    await writeFile(path, own, {flag: 'wx'});
  } catch {
    const message = `Could not lock "${folder}": another process was faster`;
    return fail(new FolderLockedError(message));
  }
  return succeed({
    async [Symbol.asyncDispose]() {
      await rm(path, {force: true});
    },
  });
}

async function isAlive(holder: string): Promise<boolean> {
  return (await describeProcess(Number(holder.split(' ')[0]))) === holder;
}

/** Returns the process id, start time and boot id of a process. */
async function describeProcess(pid: number): Promise<string> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8').catch(() => '');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const boot = await readFile('/proc/sys/kernel/random/boot_id', 'utf8').catch(
    () => '',
  );
  return `${pid} ${fields[START_TIME_FIELD] ?? ''} ${boot.trim()}`;
}
