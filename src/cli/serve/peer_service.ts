/** Handles requests from peer daemons. */
import type {ControlView} from '../../protocol/control.ts';
import type {
  LedgerRead,
  LedgerReadReply,
  PeerService,
  ProposeReply,
} from '../../protocol/peer_service.ts';
import {createLeaseService} from '../../coordination/leases/lease_service.ts';
import type {EndpointTable} from '../../coordination/membership/endpoint_table.ts';
import type {DemandTable} from '../../coordination/placement/demand_table.ts';
import type {EvidenceLedger} from '../../coordination/rollout/evidence_ledger.ts';
import {formatLedgerGroup} from '../../coordination/requests/ledger_client.ts';
import {createReplicationService} from './replication_service.ts';
import type {Replicas} from './replicas.ts';

export interface PeerServiceOptions {
  readonly replicas: Replicas;
  readonly endpoints: EndpointTable;
  /** Measurements of versions by gateways, for roll-out decisions. */
  readonly evidence: EvidenceLedger;
  /** The demand for each version reported by gateways, for placement. */
  readonly demand: DemandTable;
  /** Handles a daemon's lease renewal. */
  readonly renewLease: PeerService['renewLease'];
  /** Merges the endpoint records that another daemon sends. */
  readonly exchange: PeerService['exchange'];
}

/** Creates the service that the peer server exposes. */
export function createPeerService(options: PeerServiceOptions): PeerService {
  const {replicas, endpoints} = options;
  const {control} = replicas;
  const grantLeases = control
    ? createLeaseService({
        isLeader: () => control.replica.isLeader(),
        getLeader: () => control.replica.leader,
        getRevision: () => control.state.view.revision,
        table: control.leases,
      })
    : null;
  return {
    ...createReplicationService(replicas),
    propose: ({group, command}) => proposeTo(replicas, group, command),
    proposeAll: ({group, commands}) =>
      Promise.all(commands.map(command => proposeTo(replicas, group, command))),
    renewLease: options.renewLease,
    grantLeases: async request =>
      grantLeases?.(request) ?? {type: 'not-leader', leader: null},
    listLeaseHolders: async () => {
      if (!control?.replica.isLeader()) {
        return {type: 'not-leader', leader: control?.replica.leader ?? null};
      }
      return {type: 'holders', holders: control.leases.listHolders()};
    },
    readLedger: async request => readLedger(replicas, request),
    listEndpoints: async () => ({records: endpoints.listRecords()}),
    checkInForce: async ({revision}) => {
      if (!control?.replica.isLeader()) {
        return {type: 'not-leader', leader: control?.replica.leader ?? null};
      }
      return {
        type: 'behind',
        hosts: control.leases.listOutdatedHosts(revision),
        unreachable: canServeIsolated(control.state.view)
          ? control.leases.listUnreachable()
          : [],
      };
    },
    reportEvidence: async report => {
      const taken = control?.replica.isLeader() ?? false;
      if (!taken) return {taken};
      options.evidence.record(report);
      const {gateway, incarnation, demand} = report;
      if (demand) options.demand.record(gateway, incarnation, demand);
      return {taken};
    },
    exchange: options.exchange,
  };
}

/** Whether any pool keeps serving while its gateway has no lease. */
function canServeIsolated(view: ControlView): boolean {
  const pools = view.declaration?.pools ?? [];
  return pools.some(pool => pool.when_isolated === 'serve_stable');
}

/** Reads from a ledger if this daemon leads its group. */
function readLedger(replicas: Replicas, request: LedgerRead): LedgerReadReply {
  const replica = replicas.get(request.group);
  const ledger = replicas.ledgers.find(
    (_ledger, shard) => formatLedgerGroup(shard) === request.group,
  );
  if (!ledger || !replica?.isLeader()) {
    return {type: 'not-leader', leader: replica?.leader ?? null};
  }
  return {
    type: 'read',
    page: ledger.readBills(request.after),
    status: ledger.describeSummary(),
  };
}

async function proposeTo(
  replicas: Replicas,
  group: string,
  command: unknown,
): Promise<ProposeReply> {
  const replica = replicas.get(group);
  return replica?.propose(command) ?? {type: 'not-leader', leader: null};
}
