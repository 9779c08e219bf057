/**
 * Names what keeps a test file's process open after its last test.
 *
 * Load it with `--import`. A process whose event loop ends says so with its
 * exit code; what still runs then is the runtime itself.
 */
import {writeSync} from 'node:fs';

/** How long a process may take to end before it is asked. */
const GRACE_MS = 3_000;

/** What the runner prints last. */
const SUMMARY = 'Duration:';

process.once('exit', code => writeSync(1, `Event loop ended: ${code}\n`));

const write = process.stdout.write.bind(process.stdout);
process.stdout.write = (text, ...rest) => {
  if (String(text).includes(SUMMARY)) {
    setTimeout(() => write(`${describeHandles()}\n`), GRACE_MS).unref();
  }
  return write(text, ...rest);
};

function describeHandles() {
  const kinds = process.getActiveResourcesInfo().join(', ');
  // Only this undocumented call tells the addresses of sockets.
  const handles = process._getActiveHandles?.() ?? [];
  const lines = handles.map(handle => {
    const {constructor, localAddress, remoteAddress, remotePort} = handle;
    const {connecting, destroyed, pid, spawnfile} = handle;
    return JSON.stringify({
      kind: constructor?.name,
      local: localAddress,
      remote: remoteAddress && `${remoteAddress}:${remotePort}`,
      connecting,
      destroyed,
      pid,
      program: spawnfile,
    });
  });
  return [`Still open: ${kinds}`, ...lines].join('\n');
}
