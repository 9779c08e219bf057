/** Finds a replica that has configuration leases granted. */
import type {Clock} from '../../protocol/clock.ts';
import type {LeaseReply, LeaseRequest} from '../../protocol/control.ts';

/** How long an answer may take beside the time that it may be held back. */
const ANSWER_TIMEOUT_MS = 700;

/** After this long at a farther replica the nearest is tried again. */
const RETURN_AFTER_MS = 10_000;

export interface LeaseRenewalOptions {
  readonly clock: Clock;
  /** The replicas, near ones first. */
  readonly listReplicas: () => readonly string[];
  /** Asks one replica; a rejection counts as silence. */
  readonly ask: (
    replica: string,
    request: LeaseRequest,
    timeoutMs: number,
  ) => Promise<LeaseReply>;
}

/**
 * Creates the function that renews a lease at the nearest replica that can
 * have it granted. Each call asks one replica; the next call asks the next
 * one after a failure, so that every try counts its lease from its own start.
 */
export function createLeaseRenewal(options: LeaseRenewalOptions) {
  const {clock} = options;
  let position = 0;
  let movedAt = 0;
  return async (request: LeaseRequest): Promise<LeaseReply> => {
    const replicas = options.listReplicas();
    const now = clock.monotonic();
    if (position !== 0 && now - movedAt > RETURN_AFTER_MS) position = 0;
    const replica = replicas[position % replicas.length];
    if (replica === undefined) return {type: 'unavailable'};
    const timeoutMs = request.waitMs + ANSWER_TIMEOUT_MS;
    const reply = await options
      .ask(replica, request, timeoutMs)
      .catch((): LeaseReply => ({type: 'unavailable'}));
    if (reply.type !== 'granted') {
      position = (position + 1) % replicas.length;
      movedAt = clock.monotonic();
    }
    return reply;
  };
}
