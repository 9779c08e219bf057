/** Checks of the configuration that daemons showed. */
import type {ConfigurationRecord} from '../records/call_record.ts';

/** A declaration that the system reported in force. */
export interface InForce {
  readonly version: number;
  readonly atMs: number;
}

/** Lists where a daemon went back, or acted on what was replaced. */
export function checkConfiguration(
  seen: readonly ConfigurationRecord[],
  inForce: readonly InForce[],
): string[] {
  const newest = new Map<string, number>();
  const broken: string[] = [];
  for (const {host, atMs, version} of seen) {
    if (version === null) continue;
    const known = newest.get(host) ?? 0;
    if (version < known) {
      broken.push(`${host} went back from ${known} to ${version}`);
    }
    newest.set(host, Math.max(known, version));
    const due = inForce.filter(each => each.atMs < atMs);
    const wanted = Math.max(0, ...due.map(each => each.version));
    if (version < wanted) {
      broken.push(`${host} had ${version} when ${wanted} was in force`);
    }
  }
  return broken;
}
