/** Lists the gateways that callers may use. */
import type {Host} from '../../protocol/control.ts';

/** A gateway as it is listed to callers. */
export interface GatewayAddress {
  readonly address: string;
  readonly region: string;
  readonly data_centre: string;
}

export interface ListAddressesOptions {
  readonly region: string;
  readonly dataCentre: string;
  /** The names of hosts that an operator drains. */
  readonly draining: ReadonlySet<string>;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/**
 * Lists the gateways that accept requests, nearest first.
 *
 * Equally near ones are in random order, since callers use the first one and
 * nothing else balances them.
 */
export function listAddresses(
  hosts: readonly Host[],
  options: ListAddressesOptions,
): GatewayAddress[] {
  return hosts
    .filter(host => host.gateway && !host.leaving)
    .filter(host => !options.draining.has(host.name))
    .map(host => ({
      host,
      distance: measureDistance(host, options),
      tieBreaker: options.random(),
    }))
    .sort((a, b) => a.distance - b.distance || a.tieBreaker - b.tieBreaker)
    .map(({host}) => ({
      address: host.publicAddress,
      region: host.region,
      data_centre: host.dataCentre,
    }));
}

/** Returns 0 in the same data centre, 1 in the same region, else 2. */
function measureDistance(host: Host, options: ListAddressesOptions): number {
  if (host.dataCentre === options.dataCentre) return 0;
  return host.region === options.region ? 1 : 2;
}
