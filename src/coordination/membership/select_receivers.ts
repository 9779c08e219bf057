/** Selects the daemons to which an endpoint's record is replicated. */
import {createHash} from 'node:crypto';
import type {Host} from '../../protocol/control.ts';

/** With up to this many hosts, every daemon sends to every other. */
export const FULL_MESH_HOSTS = 12;

/** The number of receivers of a record in each remote data centre. */
export const REMOTE_RECEIVERS = 2;

/** The number of endpoints of a pool that remote data centres receive. */
export const REMOTE_ENDPOINTS = 16;

/** Ranks items for a name: the same on every host, and evenly spread. */
export function rankByHash<T>(
  name: string,
  items: readonly T[],
  getName: (item: T) => string,
): T[] {
  return items
    .map(item => ({
      item,
      hash: createHash('sha256')
        .update(`${name}\u0000${getName(item)}`)
        .digest('hex'),
    }))
    .sort((a, b) => (a.hash < b.hash ? -1 : 1))
    .map(({item}) => item);
}

/**
 * Selects the daemons to which a daemon sends a record that it accepted: all of
 * its own data centre and, in a large system, a few of each other one, which
 * forward it there.
 */
export function selectReceivers(
  own: Pick<Host, 'name' | 'dataCentre'>,
  hosts: readonly Host[],
  endpoint: string,
): Host[] {
  const others = hosts.filter(host => host.name !== own.name);
  if (hosts.length <= FULL_MESH_HOSTS) return others;
  const near = others.filter(host => host.dataCentre === own.dataCentre);
  const dataCentres = new Set(others.map(host => host.dataCentre));
  dataCentres.delete(own.dataCentre);
  const far = [...dataCentres].flatMap(dataCentre =>
    rankByHash(
      endpoint,
      others.filter(host => host.dataCentre === dataCentre),
      host => host.name,
    ).slice(0, REMOTE_RECEIVERS),
  );
  return [...near, ...far];
}
