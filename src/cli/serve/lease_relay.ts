/** Opens the lease renewal relay on daemons with a control replica. */
import {LeaseRelay} from '../../coordination/leases/lease_relay.ts';
import type {CallReplica} from './call_replica.ts';
import type {DaemonParts} from './daemon.ts';
import type {Replicas} from './replicas.ts';

/** The time-out for a lease grant by the leader. */
const GRANT_TIMEOUT_MS = 600;

/** Returns the relay; `null` if this daemon has no control replica. */
export function openLeaseRelay(
  parts: DaemonParts,
  replicas: Replicas,
  callReplica: CallReplica,
): LeaseRelay | null {
  const {control} = replicas;
  if (!control) return null;
  const relay = new LeaseRelay({
    clock: parts.clock,
    getView: () => control.state.view,
    getLeader: () => control.replica.leader,
    grant: (leader, request) =>
      callReplica(leader).grantLeases(request, GRANT_TIMEOUT_MS),
  });
  return parts.store.add(relay);
}
