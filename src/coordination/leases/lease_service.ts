/** Grants configuration leases on the leader of the control group. */
import {createHash} from 'node:crypto';
import type {
  GrantReply,
  GrantRequest,
  HostsByName,
} from '../../protocol/control.ts';
import {DocumentHistory} from './document_history.ts';
import {CONFIGURATION_LEASE_MS, type LeaseTable} from './lease_table.ts';

export interface LeaseServiceOptions {
  /**
   * Whether this daemon is the leader and its leader lease is valid now. It is
   * evaluated after each request has arrived, so that no grant relies on an
   * earlier confirmation.
   */
  readonly isLeader: () => boolean;
  readonly getLeader: () => string | null;
  /** Returns the committed revision of the configuration. */
  readonly getRevision: () => number;
  readonly table: LeaseTable;
}

/** Creates the handler that grants a batch of renewals from a replica. */
export function createLeaseService(options: LeaseServiceOptions) {
  const {table} = options;
  const history = new DocumentHistory<HostsByName>();
  return (request: GrantRequest): GrantReply => {
    if (!options.isLeader()) {
      return {type: 'not-leader', leader: options.getLeader()};
    }
    const unknown = request.renewals
      .filter(({host, revision, ...holder}) => {
        return !table.renew(holder, revision, host);
      })
      .map(renewal => renewal.name);
    const hosts = table.listHosts();
    const hostsRevision = digestHosts(hosts);
    history.record(hostsRevision, hosts);
    return {
      type: 'granted',
      leaseMs: CONFIGURATION_LEASE_MS,
      revision: options.getRevision(),
      hosts: history.describeUpdate(request.hostsRevision),
      hostsRevision,
      unknown,
    };
  };
}

/** Computes a digest that is independent of the order of renewals. */
function digestHosts(hosts: HostsByName): string {
  const sorted = Object.keys(hosts)
    .sort()
    .map(name => hosts[name]);
  return createHash('sha256')
    .update(JSON.stringify(sorted))
    .digest('base64url')
    .slice(0, 12);
}
