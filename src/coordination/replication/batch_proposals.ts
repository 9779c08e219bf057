/**
 * Batches concurrent proposals into one call.
 *
 * A call between daemons costs far more than a command in it. Commands for the
 * same group and replica share a call if they are proposed in the same turn of
 * the event loop, or while the maximum number of calls is in flight.
 */
import type {
  ProposeAllRequest,
  ProposeReply,
  ProposeRequest,
} from '../../protocol/peer_service.ts';

/** The maximum number of commands per call. */
const MAX_BATCH_COMMANDS = 128;

/** The maximum number of calls in flight per replica and group. */
const MAX_CONCURRENT_CALLS = 4;

/** Sends commands of one group to a replica; resolves to a reply for each. */
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

interface TargetQueue {
  readonly replica: string;
  readonly group: string;
  readonly pending: Pending[];
  calls: number;
  scheduled: boolean;
  timeoutMs: number;
}

/** Creates a function that proposes one command, batched with others. */
export function batchProposals(send: SendProposals) {
  const queues = new Map<string, TargetQueue>();
  const flush = (queue: TargetQueue) => {
    queue.scheduled = false;
    while (queue.pending.length > 0 && queue.calls < MAX_CONCURRENT_CALLS) {
      const batch = queue.pending.splice(0, MAX_BATCH_COMMANDS);
      queue.calls++;
      void sendBatch(send, queue, batch).finally(() => {
        queue.calls--;
        flush(queue);
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
      const queue = queues.get(id) ?? createQueue(replica, group);
      queues.set(id, queue);
      queue.timeoutMs = timeoutMs;
      queue.pending.push({command, resolve, reject});
      if (queue.scheduled) return;
      queue.scheduled = true;
      setImmediate(flush, queue);
    });
}

function createQueue(replica: string, group: string): TargetQueue {
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
  queue: TargetQueue,
  batch: readonly Pending[],
): Promise<void> {
  const commands = batch.map(each => each.command);
  const request = {group: queue.group, commands};
  try {
    const replies = await send(queue.replica, request, queue.timeoutMs);
    batch.forEach(({resolve}, index) =>
      resolve(replies[index] ?? {type: 'unknown'}),
    );
  } catch (error) {
    for (const {reject} of batch) reject(error);
  }
}
