/** Starts the exchange of endpoint records with other daemons. */
import {RecordExchange} from '../../coordination/membership/record_exchange.ts';
import {rebuildEndpointTable} from '../../coordination/membership/rebuild_endpoint_table.ts';
import type {ConfigurationLease} from '../../coordination/leases/configuration_lease.ts';
import type {EndpointTable} from '../../coordination/membership/endpoint_table.ts';
import type {PeerLinks} from '../../transport/peers/peer_links.ts';
import type {DaemonParts} from './daemon.ts';

/** The time-out for one call to another daemon. */
const EXCHANGE_TIMEOUT_MS = 700;

export interface ExchangeParts {
  readonly lease: ConfigurationLease;
  readonly links: PeerLinks;
  readonly endpoints: EndpointTable;
}

/** Opens the exchange; `parts.store` owns it. */
export function openExchange(
  parts: DaemonParts,
  {lease, links, endpoints}: ExchangeParts,
): RecordExchange {
  const {settings, clock, store} = parts;
  const exchange = new RecordExchange({
    clock,
    own: {name: settings.name, dataCentre: settings.data_centre},
    table: endpoints,
    listHosts: () => lease.listHosts(),
    send: (host, request) =>
      links.get(host.peerAddress).exchange(request, EXCHANGE_TIMEOUT_MS),
  });
  return store.add(exchange);
}

/**
 * Rebuilds the endpoint table from the nearest daemons in the background, so
 * that it does not delay the start of the daemon.
 */
export function startEndpointRebuild(
  parts: DaemonParts,
  {lease, links, endpoints}: ExchangeParts,
): void {
  const {settings, clock, store, createLogger} = parts;
  const logger = createLogger('members');
  const stopped = new AbortController();
  const own = {
    name: settings.name,
    region: settings.region,
    dataCentre: settings.data_centre,
  };
  const task = rebuildEndpointTable({
    clock,
    own,
    table: endpoints,
    random: Math.random,
    listHosts: () => lease.listHosts(),
    read: async host => {
      const link = links.get(host.peerAddress);
      return (await link.listEndpoints({}, EXCHANGE_TIMEOUT_MS)).records;
    },
    signal: stopped.signal,
  }).then(count => logger.info('Merged endpoint records of peers.', {count}));
  store.add({
    async [Symbol.asyncDispose]() {
      stopped.abort();
      await task;
    },
  });
}
