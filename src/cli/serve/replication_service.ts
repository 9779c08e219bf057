/** Handles replication requests from other members of the groups. */
import type {ReplicationService} from '../../protocol/replication.ts';
import type {Replica} from '../../coordination/replication/replica.ts';
import type {Replicas} from './replicas.ts';

/** Creates the service; calls for a group without a local replica reject. */
export function createReplicationService(
  replicas: Replicas,
): ReplicationService {
  const find = ({group}: {group: string}): Replica<unknown, unknown> => {
    const replica = replicas.get(group);
    if (!replica) {
      throw new Error(`Could not find a replica of group "${group}"`);
    }
    return replica;
  };
  return {
    vote: async request => find(request).handleVote(request),
    append: async request => find(request).handleAppend(request),
    installSnapshot: async request => find(request).handleInstall(request),
    describeReplica: async request => find(request).handleDescribe(),
    formGroup: async request => find(request).handleForm(request),
    transferLeadership: async request => find(request).handleTransfer(request),
  };
}
