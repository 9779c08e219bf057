/** Finds the leader of a group and sends it proposals. */
import type {Clock} from '../../protocol/clock.ts';
import type {
  ProposeReply,
  ProposeRequest,
} from '../../protocol/peer_service.ts';

/**
 * Delay after a pass that found no leader. A redirect to another leader is
 * followed without a delay, but not a redirect from a replica that was itself
 * named by one.
 */
const RETRY_DELAY_MS = 100;

/** Timeout for one call, after which the next replica is asked. */
const CALL_TIMEOUT_MS = 1_200;

/** Default total time for which a proposal is retried. */
const PROPOSE_DEADLINE_MS = 6_000;

export interface ProposerOptions {
  /** Lists the daemons that run replicas, nearest first. */
  readonly listReplicas: () => readonly string[];
  /** Calls one replica; a rejected promise is treated as no reply. */
  readonly call: (
    replica: string,
    request: ProposeRequest,
    timeoutMs: number,
  ) => Promise<ProposeReply>;
  readonly clock: Clock;
  /** Total time for which a proposal is retried; 6,000 by default. */
  readonly deadlineMs?: number;
}

/**
 * Creates a function that proposes a command until it is committed.
 *
 * A proposal whose reply was lost is sent again, so commands must be
 * idempotent. When the deadline passes, the reply is `unknown` if an attempt
 * may have been appended, and `not-leader` if none was.
 */
export function createProposer(options: ProposerOptions) {
  const leaders = new Map<string, string>();
  return async (group: string, command: unknown): Promise<ProposeReply> => {
    const {clock} = options;
    const deadline =
      clock.monotonic() + (options.deadlineMs ?? PROPOSE_DEADLINE_MS);
    let last: ProposeReply = {type: 'not-leader', leader: null};
    while (clock.monotonic() < deadline) {
      const replica = leaders.get(group);
      let isRedirected = false;
      const order = replica === undefined ? options.listReplicas() : [replica];
      for (const name of order) {
        const reply = await askReplica(options, name, {group, command});
        if (reply.type === 'committed') {
          leaders.set(group, name);
          return reply;
        }
        leaders.delete(group);
        if (reply.type === 'unknown') last = reply;
        if (reply.type === 'not-leader' && reply.leader !== null) {
          // If this replica was itself named as leader and names another one,
          // the two may hold outdated views; waits before following.
          isRedirected = replica === undefined;
          leaders.set(group, reply.leader);
          break;
        }
      }
      if (!isRedirected) await clock.sleep(RETRY_DELAY_MS);
    }
    return last;
  };
}

async function askReplica(
  options: ProposerOptions,
  name: string,
  request: ProposeRequest,
): Promise<ProposeReply> {
  try {
    return await options.call(name, request, CALL_TIMEOUT_MS);
  } catch {
    return {type: 'unknown'};
  }
}
