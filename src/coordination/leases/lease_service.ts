/** Grants configuration leases while this daemon leads the control group. */
import {createHash} from 'node:crypto';
import type {
  ControlCommand,
  ControlResult,
  LeaseReply,
  LeaseRequest,
} from '../../protocol/control.ts';
import type {ControlState} from '../../state/control/control_state.ts';
import type {Replica} from '../replication/replica.ts';
import {CONFIGURATION_LEASE_MS, type LeaseTable} from './lease_table.ts';

export interface LeaseServiceOptions {
  readonly replica: Replica<ControlCommand, ControlResult>;
  readonly state: ControlState;
  readonly table: LeaseTable;
}

/** Creates the function that answers renewals. */
export function createLeaseService(options: LeaseServiceOptions) {
  const {replica, state, table} = options;
  return (request: LeaseRequest): LeaseReply => {
    if (!replica.isLeader()) {
      return {type: 'not-leader', leader: replica.leader};
    }
    table.renew(request.host, request.incarnation, request.revision);
    const {view} = state;
    const hosts = table.listHosts();
    const hostsRevision = createHash('sha256')
      .update(JSON.stringify(hosts))
      .digest('base64url');
    return {
      type: 'granted',
      leaseMs: CONFIGURATION_LEASE_MS,
      ...(view.revision === request.revision ? {} : {view}),
      ...(hostsRevision === request.hostsRevision ? {} : {hosts}),
      hostsRevision,
    };
  };
}
