/** Finds the replica that grants configuration leases. */
import type {LeaseReply, LeaseRequest} from '../../protocol/control.ts';
import type {CallReplica} from './call_replica.ts';

export interface LeaseRenewalOptions {
  readonly listReplicas: () => readonly string[];
  readonly callReplica: CallReplica;
}

/** Creates the function that renews a lease at the leader, once found. */
export function createLeaseRenewal(options: LeaseRenewalOptions) {
  let holder: string | null = null;
  return async (request: LeaseRequest): Promise<LeaseReply> => {
    const order = holder === null ? options.listReplicas() : [holder];
    for (const name of order) {
      const reply = await askReplica(options, name, request);
      holder = reply?.type === 'granted' ? name : null;
      if (reply?.type === 'granted') return reply;
      const leader = reply?.leader ?? null;
      if (leader === null || leader === name) continue;
      const second = await askReplica(options, leader, request);
      if (second?.type !== 'granted') continue;
      holder = leader;
      return second;
    }
    return {type: 'not-leader', leader: null};
  };
}

async function askReplica(
  options: LeaseRenewalOptions,
  name: string,
  request: LeaseRequest,
): Promise<LeaseReply | null> {
  try {
    return await options.callReplica(name).renewLease(request);
  } catch {
    return null;
  }
}
