/** Decides which versions of a service may serve a request in a roll-out. */
import type {ServiceRollout} from '../../protocol/core_service.ts';
import {computeShare} from './hash.ts';

/** Whether endpoints of a version may serve a request. */
export type AllowsVersion = (version: string) => boolean;

/** The key by which requests are assigned to the target or the old version. */
export interface VersionSubject {
  /** The session, or the attempt where there is none. */
  readonly key: string;
  /** Whether earlier requests may have used the same key. */
  readonly isSession: boolean;
}

/**
 * Returns a predicate for the versions that may serve a request.
 *
 * All requests of a session are assigned to the same side, and a growing share
 * moves sessions only from the old version to the target. A session stays on
 * the old version until the roll-out moves sessions: a gateway cannot tell
 * whether another gateway has already served it there.
 *
 * @param rollout The service's last roll-out; `null` if it never had one.
 */
export function chooseVersion(
  rollout: ServiceRollout | null,
  {key, isSession}: VersionSubject,
): AllowsVersion {
  if (!rollout) return () => true;
  const {target, stable, rejected, state, share} = rollout;
  const isOld = (version: string) =>
    version !== target &&
    !rejected.includes(version) &&
    (stable === null || version === stable);
  if (state === 'complete') return version => version === target;
  if (state === 'reverted') return isOld;
  if (isSession && !rollout.movesSessions) return isOld;
  const takesTarget = computeShare(`${target}/${key}`) < share;
  return takesTarget ? version => version === target : isOld;
}
