/**
 * Reports the handles that keep a test process alive after its last test.
 *
 * Load it with `--import`. A process whose event loop ends prints its exit
 * code; if the process still runs after that, the runtime itself hangs.
 */
import {writeSync} from 'node:fs';

/** Time that a process has to exit before its handles are reported. */
const GRACE_MS = 3_000;

/** Marks the last line that the test runner prints. */
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
  // Only this undocumented function gives the addresses of sockets.
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
