/** Which daemons an endpoint's record is passed on to. */
import {createHash} from 'node:crypto';
import type {Host} from '../../protocol/control.ts';

/** Up to this many daemons in all, each hears of every endpoint. */
export const FULL_MESH_HOSTS = 12;

/** The daemons of each other data centre that take a record in. */
export const REMOTE_RECEIVERS = 2;

/** The endpoints of one pool that other data centres hear of. */
export const REMOTE_ENDPOINTS = 16;

/** Ranks items for a name, the same everywhere and evenly spread. */
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
 * The daemons that a record goes to from one that took it in: all of the own
 * data centre and, in a large system, a few of each other one, which pass it
 * on there.
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
