/** Passes announcements of endpoints on to the other daemons. */
import type {Announcement} from '../../protocol/endpoint.ts';
import {succeed, type Outcome} from '../../protocol/outcome.ts';
import type {Settings} from '../../protocol/settings.ts';
import type {ConfigurationLease} from '../../coordination/leases/configuration_lease.ts';
import type {EndpointTable} from '../../coordination/membership/endpoint_table.ts';
import type {PeerLinks} from '../../transport/peers/peer_links.ts';

/** How long another daemon may take to acknowledge. */
const EXCHANGE_TIMEOUT_MS = 1_000;

export interface ExchangeOptions {
  readonly settings: Settings;
  readonly lease: ConfigurationLease;
  readonly links: PeerLinks;
  readonly endpoints: EndpointTable;
}

/** Creates the function that takes an announcement in and passes it on. */
export function createExchange(options: ExchangeOptions) {
  const {settings, lease, links, endpoints} = options;
  return (announcement: Announcement): Outcome<void, string> => {
    const record = endpoints.announce(announcement);
    for (const host of lease.listHosts()) {
      if (host.name === settings.name) continue;
      links
        .get(host.peerAddress)
        .exchange({records: [record]}, EXCHANGE_TIMEOUT_MS)
        .catch(() => {});
    }
    return succeed(undefined);
  };
}
