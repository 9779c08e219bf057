/** Lists the gateways that callers may use. */
import type {Host} from '../../protocol/control.ts';

/** A gateway as callers learn of it. */
export interface GatewayAddress {
  readonly address: string;
  readonly region: string;
  readonly data_centre: string;
}

export interface ListAddressesOptions {
  readonly region: string;
  readonly dataCentre: string;
  /** Hosts that an operator drains. */
  readonly draining: ReadonlySet<string>;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/**
 * Lists the gateways that take work, nearest first.
 *
 * Equally near ones come in a random order, since callers use the first and
 * nothing else spreads them.
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

/** 0 within the data centre, 1 within the region, 2 beyond. */
function measureDistance(host: Host, options: ListAddressesOptions): number {
  if (host.dataCentre === options.dataCentre) return 0;
  return host.region === options.region ? 1 : 2;
}
