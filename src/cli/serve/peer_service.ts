/** What a daemon answers to its peers. */
import type {PeerService} from '../../protocol/peer_service.ts';
import {createLeaseService} from '../../coordination/leases/lease_service.ts';
import type {EndpointTable} from '../../coordination/membership/endpoint_table.ts';
import type {EvidenceLedger} from '../../coordination/rollout/evidence_ledger.ts';
import type {Replica} from '../../coordination/replication/replica.ts';
import type {Replicas} from './replicas.ts';

export interface PeerServiceOptions {
  readonly replicas: Replicas;
  readonly endpoints: EndpointTable;
  /** What gateways saw of versions, for the leader's decisions. */
  readonly evidence: EvidenceLedger;
}

/** Creates the service that peers reach through the transport. */
export function createPeerService(options: PeerServiceOptions): PeerService {
  const {replicas, endpoints} = options;
  const {control} = replicas;
  const renewLease = control
    ? createLeaseService({
        replica: control.replica,
        state: control.state,
        table: control.leases,
      })
    : null;
  return {
    vote: request => findReplica(replicas, request.group).handleVote(request),
    append: request =>
      findReplica(replicas, request.group).handleAppend(request),
    propose: async ({group, command}) =>
      replicas.get(group)?.propose(command) ?? {
        type: 'not-leader',
        leader: null,
      },
    renewLease: async request =>
      renewLease?.(request) ?? {type: 'not-leader', leader: null},
    checkInForce: async ({revision}) => {
      if (!control?.replica.isLeader()) {
        return {type: 'not-leader', leader: control?.replica.leader ?? null};
      }
      return {type: 'behind', hosts: control.leases.listBehind(revision)};
    },
    reportEvidence: async report => {
      const taken = control?.replica.isLeader() ?? false;
      if (taken) options.evidence.record(report);
      return {taken};
    },
    exchange: async ({records}) => {
      const news = records.filter(record => endpoints.merge(record));
      return {accepted: news.length};
    },
  };
}

function findReplica(
  replicas: Replicas,
  group: string,
): Replica<unknown, unknown> {
  const replica = replicas.get(group);
  if (!replica) throw new Error(`Could not find a replica of group "${group}"`);
  return replica;
}
