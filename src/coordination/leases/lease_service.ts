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
  let history = new DocumentHistory<HostsByName>();
  let leaderSince = -Infinity;
  return (request: GrantRequest): GrantReply => {
    if (!options.isLeader()) {
      return {type: 'not-leader', leader: options.getLeader()};
    }
    if (table.leaderSince !== leaderSince) {
      ({leaderSince} = table);
      history = new DocumentHistory();
    }
    const unknown = request.renewals
      .filter(({host, revision, ...holder}) => {
        return !table.renew(holder, revision, host);
      })
      .map(renewal => renewal.name);
    const hosts = table.listHosts();
    const hostsRevision = digestHosts(hosts);
    history.record(hostsRevision, hosts);
    const granted = {
      type: 'granted' as const,
      leaseMs: CONFIGURATION_LEASE_MS,
      revision: options.getRevision(),
      unknown,
    };
    // A list of an earlier leader stays in use until this one is complete.
    const isEarlier =
      request.hostsRevision !== '' && !history.has(request.hostsRevision);
    if (isEarlier && !table.hasHeardHosts()) {
      return {...granted, hostsRevision: request.hostsRevision};
    }
    return {
      ...granted,
      hosts: history.describeUpdate(request.hostsRevision),
      hostsRevision,
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
