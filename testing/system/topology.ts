/** Topologies of the systems under test: hosts and endpoints. */
import type {EndpointOptions, HostOptions} from './system.ts';

const VERSIONS = ['draft/small', 'draft/large'];

/** Creates one data centre: three hosts with disks and one without. */
export function createSmallTopology() {
  const place = {region: 'north', dataCentre: 'north-a'};
  const hosts: HostOptions[] = ['a1', 'a2', 'a3', 'a4'].map(name => ({
    name,
    ...place,
    disk: name !== 'a4',
  }));
  const announceTo = ['a1', 'a2', 'a4'];
  const endpoints: EndpointOptions[] = [
    ...['e1', 'e2', 'e3'].map(name => ({
      name,
      kind: 'engine' as const,
      ...place,
      pool: 'drafting',
      versions: VERSIONS,
      announceTo,
    })),
    ...['s1', 's2'].map(name => ({
      name,
      kind: 'service' as const,
      ...place,
      pool: 'booking',
      announceTo,
    })),
  ];
  return {hosts, endpoints};
}

/**
 * Creates nine hosts, six engines of the pool `drafting` and three endpoints of
 * the service `booking`, spread over three data centres. Two data centres are
 * in the first region, one is in the second.
 *
 * @param dataCentres Their names; the last one is in the second region.
 */
export function createNineHostTopology(
  regions: readonly [string, string],
  dataCentres: readonly [string, string, string],
) {
  const place = (index: number) => ({
    region: index % 3 === 2 ? regions[1] : regions[0],
    dataCentre: dataCentres[index % 3] ?? '',
  });
  const indexes = Array.from({length: 9}, (_, index) => index);
  const hosts: HostOptions[] = indexes.map(index => ({
    name: `h${index}`,
    ...place(index),
    disk: index < 5,
  }));
  const endpoints: EndpointOptions[] = indexes.map(index => ({
    name: `w${index}`,
    ...place(index),
    ...(index < 6
      ? {
          kind: 'engine',
          pool: 'drafting',
          versions: [...VERSIONS, 'draft/next'],
          failing: ['draft/next'],
        }
      : {kind: 'service', pool: 'booking'}),
    announceTo: indexes
      .filter(host => host % 3 === index % 3)
      .map(host => `h${host}`),
  }));
  return {hosts, endpoints};
}
