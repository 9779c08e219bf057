/** Checks of the configuration that daemons showed. */
import type {ConfigurationRecord} from '../records/call_record.ts';

/** A declaration that the system reported in force. */
export interface InForceDeclaration {
  readonly version: number;
  readonly atMs: number;
}

/** Lists where a daemon went back, or acted on what was replaced. */
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
      violations.push(`${host} went back from ${previous} to ${version}`);
    }
    highest.set(host, Math.max(previous, version));
    const due = inForce.filter(each => each.atMs < atMs);
    const required = Math.max(0, ...due.map(each => each.version));
    if (version < required) {
      violations.push(`${host} had ${version} when ${required} was in force`);
    }
  }
  return violations;
}
