/**
 * Tells another core daemon which followers of this one have a change, and whether
 * its disk holds the departures.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {
  ConfirmReply,
  ConfirmRequest,
} from '../../protocol/confirmation.ts';
import type {Configuration} from '../../protocol/core_service.ts';
import type {CoreState} from '../core/core_state.ts';
import {IN_USE_MS, type FollowerTable} from './follower_table.ts';
import type {SavedEndpoints} from './saved_endpoints.ts';

export interface ConfirmServiceOptions {
  readonly state: Pick<CoreState, 'endpoints' | 'recordDepartures'>;
  readonly followers: FollowerTable;
  readonly saved: Pick<SavedEndpoints, 'revision' | 'saveSoon' | 'saves'>;
  readonly clock: Clock;
  readonly getConfiguration: () => Pick<Configuration, 'revision'>;
}

export type ConfirmService = (request: ConfirmRequest) => Promise<ConfirmReply>;

/** Creates the handler; it replies once all have the change, or in time. */
export function createConfirmService({
  state,
  followers,
  saved,
  clock,
  getConfiguration,
}: ConfirmServiceOptions): ConfirmService {
  return async ({configurationRevision, departures, required, waitMs}) => {
    state.recordDepartures(departures);
    const endpointRevision = Math.max(
      required?.run === followers.epoch ? required.endpointRevision : 0,
      ...departures.map(({id}) => state.endpoints.getRevision(id)),
    );
    const createReply = (): ConfirmReply => ({
      isHeld: getConfiguration().revision >= configurationRevision,
      run: followers.epoch,
      configurationRevision: getConfiguration().revision,
      endpointRevision,
      savedRevision: saved.revision,
      readsRequired: true,
      followers: followers.list({
        configuration: configurationRevision,
        endpoints: endpointRevision,
      }),
    });
    if (endpointRevision > saved.revision) saved.saveSoon();
    const deadline = clock.monotonic() + waitMs;
    for (;;) {
      const reply = createReply();
      const leftMs = deadline - clock.monotonic();
      if (isComplete(reply) || leftMs <= 0) return reply;
      await (isSaved(reply) ? followers.calls : saved.saves).wait(leftMs);
    }
  };
}

/** Whether a daemon and all its followers in contact have a change. */
export function isComplete(reply: ConfirmReply): boolean {
  return (
    reply.isHeld &&
    isSaved(reply) &&
    reply.followers.every(
      ({isConfirmed, ageMs}) => isConfirmed || ageMs >= IN_USE_MS,
    )
  );
}

/**
 * Whether the daemon's disk holds the departures. Daemons of earlier versions do not
 * tell, and count as if it did.
 */
export function isSaved({
  savedRevision = Infinity,
  endpointRevision = 0,
}: Pick<ConfirmReply, 'savedRevision' | 'endpointRevision'>): boolean {
  return savedRevision >= endpointRevision;
}
