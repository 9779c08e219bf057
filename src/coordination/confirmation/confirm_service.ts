/** Tells another core daemon which followers of this one have a change. */
import type {Clock} from '../../protocol/clock.ts';
import type {
  ConfirmReply,
  ConfirmRequest,
} from '../../protocol/confirmation.ts';
import type {Configuration} from '../../protocol/core_service.ts';
import type {CoreState} from '../core/core_state.ts';
import {IN_USE_MS, type FollowerTable} from './follower_table.ts';

export interface ConfirmServiceOptions {
  readonly state: Pick<CoreState, 'endpoints' | 'recordDepartures'>;
  readonly followers: FollowerTable;
  readonly clock: Clock;
  readonly getConfiguration: () => Pick<Configuration, 'revision'>;
}

export type ConfirmService = (request: ConfirmRequest) => Promise<ConfirmReply>;

/** Creates the handler; it replies once all have the change, or in time. */
export function createConfirmService({
  state,
  followers,
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
      readsRequired: true,
      followers: followers.list({
        configuration: configurationRevision,
        endpoints: endpointRevision,
      }),
    });
    const deadline = clock.monotonic() + waitMs;
    for (;;) {
      const reply = createReply();
      const leftMs = deadline - clock.monotonic();
      if (isComplete(reply) || leftMs <= 0) return reply;
      await followers.calls.wait(leftMs);
    }
  };
}

/** Whether a daemon and all its followers in contact have a change. */
export function isComplete({isHeld, followers}: ConfirmReply): boolean {
  return (
    isHeld &&
    followers.every(({isConfirmed, ageMs}) => isConfirmed || ageMs >= IN_USE_MS)
  );
}
