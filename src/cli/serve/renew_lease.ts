/** Renews configuration leases with failover between replicas. */
import type {Clock} from '../../protocol/clock.ts';
import type {LeaseReply, LeaseRequest} from '../../protocol/control.ts';

/** The time-out for an answer, in addition to its permitted hold time. */
const ANSWER_TIMEOUT_MS = 700;

/** The time after a failover until the nearest replica is tried again. */
const RETRY_NEAREST_MS = 10_000;

export interface LeaseRenewalOptions {
  readonly clock: Clock;
  /** Lists the replicas, nearest first. */
  readonly listReplicas: () => readonly string[];
  /** Sends a renewal to one replica; a rejection counts as unavailable. */
  readonly ask: (
    replica: string,
    request: LeaseRequest,
    timeoutMs: number,
  ) => Promise<LeaseReply>;
}

/**
 * Creates a function that renews a lease through the nearest replica that can
 * get it granted. Each call tries one replica, and the call after a failure
 * tries the next one: a lease runs from the start of the call that got it, so
 * retries within one call would shorten it. The nearest replica is tried again
 * at an interval; if it is still lost, the next call goes back to the replica
 * that was used before.
 */
export function createLeaseRenewal(options: LeaseRenewalOptions) {
  const {clock} = options;
  let position = 0;
  let failedOverAt = 0;
  return async (request: LeaseRequest): Promise<LeaseReply> => {
    const replicas = options.listReplicas();
    const now = clock.monotonic();
    const isRetry = position !== 0 && now - failedOverAt > RETRY_NEAREST_MS;
    const replica = replicas[isRetry ? 0 : position % replicas.length];
    if (replica === undefined) return {type: 'unavailable'};
    const timeoutMs = request.waitMs + ANSWER_TIMEOUT_MS;
    const reply = await options
      .ask(replica, request, timeoutMs)
      .catch((): LeaseReply => ({type: 'unavailable'}));
    if (reply.type === 'granted') {
      if (isRetry) position = 0;
    } else {
      if (!isRetry) position = (position + 1) % replicas.length;
      failedOverAt = clock.monotonic();
    }
    return reply;
  };
}
