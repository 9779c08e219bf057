/** Finds the leader of a group and proposes to it. */
import type {Clock} from '../../protocol/clock.ts';
import type {
  ProposeReply,
  ProposeRequest,
} from '../../protocol/peer_service.ts';

/** The pause after no replica, or none that one named, said that it leads. */
const RETRY_DELAY_MS = 100;

/** How long one replica may take to answer before another is asked. */
const CALL_TIMEOUT_MS = 1_200;

/** How long a proposal is tried in all. */
const PROPOSE_DEADLINE_MS = 6_000;

export interface ProposerOptions {
  /** The names of the daemons that carry replicas, near ones first. */
  readonly listReplicas: () => readonly string[];
  /** Asks one replica; a rejection counts as silence. */
  readonly call: (
    replica: string,
    request: ProposeRequest,
    timeoutMs: number,
  ) => Promise<ProposeReply>;
  readonly clock: Clock;
  /** How long a proposal is tried in all, in ms; 6,000. */
  readonly deadlineMs?: number;
}

/**
 * Creates a function that proposes a command until it is committed.
 *
 * A proposal whose reply was lost is made again, so commands must be
 * idempotent. The reply is `unknown` when the deadline passes after an
 * attempt that may have been appended, `not-leader` when none was.
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
          // A replica that was named and names another may be out of date.
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
