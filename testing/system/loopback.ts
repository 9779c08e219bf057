/** Allocates loopback addresses without conflicts between test processes. */

let nextHost = 1;

/**
 * Allocates an IPv4 address in 127.0.0.0/8 from a range derived from the
 * process id. All its ports are free, so fixed port numbers can be used.
 */
export function allocateLoopback(): string {
  const network = 2 + (((process.pid >> 6) & 0xff) % 250);
  const subnet = process.pid & 0x3f;
  const host = nextHost++;
  if (host > 1_000)
    throw new Error(
      'Could not allocate a loopback address: all 1,000 are used',
    );
  return `127.${network}.${subnet * 4 + Math.floor(host / 250)}.${1 + (host % 250)}`;
}
