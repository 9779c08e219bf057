/**
 * Sends proposals that arrive together as one call.
 *
 * A call between daemons costs far more than a command in it, so commands of
 * one group for one replica that are made in the same turn of the event loop,
 * or while many calls are under way, share a call.
 */
import type {
  ProposeAllRequest,
  ProposeReply,
  ProposeRequest,
} from '../../protocol/peer_service.ts';

/** The most commands in one call. */
const BATCH_COMMANDS = 128;

/** Calls to one group of one replica that are under way at once. */
const CALLS_AT_ONCE = 4;

/** Sends commands of one group to a replica and returns a reply for each. */
export type SendProposals = (
  replica: string,
  request: ProposeAllRequest,
  timeoutMs: number,
) => Promise<readonly ProposeReply[]>;

interface Pending {
  readonly command: unknown;
  readonly resolve: (reply: ProposeReply) => void;
  readonly reject: (error: unknown) => void;
}

interface Lane {
  readonly replica: string;
  readonly group: string;
  readonly pending: Pending[];
  calls: number;
  scheduled: boolean;
  timeoutMs: number;
}

/** Creates a function that proposes one command as part of a batch. */
export function batchProposals(send: SendProposals) {
  const lanes = new Map<string, Lane>();
  const flush = (lane: Lane) => {
    lane.scheduled = false;
    while (lane.pending.length > 0 && lane.calls < CALLS_AT_ONCE) {
      const batch = lane.pending.splice(0, BATCH_COMMANDS);
      lane.calls++;
      void sendBatch(send, lane, batch).finally(() => {
        lane.calls--;
        flush(lane);
      });
    }
  };
  return (
    replica: string,
    {group, command}: ProposeRequest,
    timeoutMs: number,
  ): Promise<ProposeReply> =>
    new Promise((resolve, reject) => {
      const id = `${replica}\u0000${group}`;
      const lane = lanes.get(id) ?? createLane(replica, group);
      lanes.set(id, lane);
      lane.timeoutMs = timeoutMs;
      lane.pending.push({command, resolve, reject});
      if (lane.scheduled) return;
      lane.scheduled = true;
      setImmediate(flush, lane);
    });
}

function createLane(replica: string, group: string): Lane {
  return {
    replica,
    group,
    pending: [],
    calls: 0,
    scheduled: false,
    timeoutMs: 0,
  };
}

async function sendBatch(
  send: SendProposals,
  lane: Lane,
  batch: readonly Pending[],
): Promise<void> {
  const commands = batch.map(each => each.command);
  const request = {group: lane.group, commands};
  try {
    const replies = await send(lane.replica, request, lane.timeoutMs);
    batch.forEach(({resolve}, index) =>
      resolve(replies[index] ?? {type: 'unknown'}),
    );
  } catch (error) {
    for (const {reject} of batch) reject(error);
  }
}
