/** Checks the configuration versions that daemons reported. */
import type {ConfigurationRecord} from '../records/call_record.ts';

/** A declaration that was reported in force. */
export interface InForceDeclaration {
  readonly version: number;
  readonly atMs: number;
}

/**
 * Lists daemons that returned to an older version, or that still used one after
 * a newer version was reported in force.
 */
export function checkConfiguration(
  seen: readonly ConfigurationRecord[],
  inForce: readonly InForceDeclaration[],
): string[] {
  const highest = new Map<string, number>();
  const violations: string[] = [];
  for (const {host, atMs, version} of seen) {
    if (version === null) continue;
    const previous = highest.get(host) ?? 0;
    if (version < previous) {
      violations.push(`${host} returned from ${previous} to ${version}`);
    }
    highest.set(host, Math.max(previous, version));
    const due = inForce.filter(each => each.atMs < atMs);
    const required = Math.max(0, ...due.map(each => each.version));
    if (version < required) {
      violations.push(`${host} used ${version} while ${required} was in force`);
    }
  }
  return violations;
}
