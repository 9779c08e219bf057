/**
 * Keeps two processes from using one data folder.
 *
 * The lock names its process by number, start time and boot, so that a lock
 * left by a process that died, or by an earlier boot, does not count.
 */
import {mkdir, readFile, rm, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import {FolderLockedError} from '../errors.ts';

/** The position of the start time behind the name in `/proc/N/stat`. */
const START_TIME_FIELD = 19;

/** Locks `folder` until the result is disposed. */
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

/** The number, start time and boot of a process, as one line. */
async function describeProcess(pid: number): Promise<string> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8').catch(() => '');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const boot = await readFile('/proc/sys/kernel/random/boot_id', 'utf8').catch(
    () => '',
  );
  return `${pid} ${fields[START_TIME_FIELD] ?? ''} ${boot.trim()}`;
}
