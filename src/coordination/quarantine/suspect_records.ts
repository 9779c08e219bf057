/** Encodes suspects with the ages of their crashes, as daemons send them. */
import type {SuspectRecord} from '../../protocol/suspect.ts';
import type {Suspect} from './suspect.ts';

/**
 * Decodes a record.
 *
 * @param receivedAt When its ages were measured, on the monotonic clock.
 */
export function decodeSuspect(
  {crashes, clearedAgeMs, ...rest}: SuspectRecord,
  receivedAt: number,
): Suspect {
  const findTime = (ageMs: number | null) =>
    ageMs === null ? -Infinity : receivedAt - ageMs;
  return {
    ...rest,
    crashes: new Map(
      crashes.map(({start, ageMs, exposureMs, refutedAgeMs}) => [
        start,
        {
          atMs: receivedAt - ageMs,
          exposureMs,
          refutedAt: findTime(refutedAgeMs),
        },
      ]),
    ),
    clearedAt: findTime(clearedAgeMs),
  };
}

/** Encodes a suspect, at a time on the monotonic clock. */
export function encodeSuspect(
  {crashes, clearedAt, customers, ...rest}: Suspect,
  now: number,
): SuspectRecord {
  const findAge = (atMs: number) =>
    atMs === -Infinity ? null : Math.round(now - atMs);
  return {
    ...rest,
    customers: [...customers],
    crashes: [...crashes].map(([start, {atMs, exposureMs, refutedAt}]) => ({
      start,
      ageMs: Math.round(now - atMs),
      exposureMs: Math.ceil(exposureMs),
      refutedAgeMs: findAge(refutedAt),
    })),
    clearedAgeMs: findAge(clearedAt),
  };
}
