/** Says which versions of a service a request may go to during a roll-out. */
import type {ServiceRollout} from '../../protocol/core_service.ts';
import {computeShare} from './hash.ts';

/** Tells whether an endpoint of a version may take a request. */
export type AllowsVersion = (version: string) => boolean;

/** What decides on which side of a share a request falls. */
export interface VersionSubject {
  /** What requests that belong together have in common. */
  readonly key: string;
  /** Whether other requests may have gone before under this key. */
  readonly isSession: boolean;
}

/**
 * Returns the test for the versions that a request may run on.
 *
 * Requests of one session fall on one side of the share, and a growing share
 * only ever moves them to the new version. A session stays on the old version
 * until sessions may move: a gateway cannot tell whether another one already
 * served it there.
 *
 * @param rollout The last roll-out of the service; `null` without any.
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
