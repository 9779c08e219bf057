/** Disturbances of a simulated site. */
import type {Draws} from '../../protocol/seeded_draws.ts';
import type {SimulatedSite} from './simulated_site.ts';

export interface SiteSize {
  readonly gateways: number;
  readonly cores: number;
  readonly endpoints: number;
}

/** Restarts, cuts off or ends a drawn part of a site, or nothing. */
export function runDisturbance(
  site: SimulatedSite,
  {gateways, cores, endpoints}: SiteSize,
  {next, between}: Draws,
): void {
  const kind = next();
  if (kind < 0.25) site.restartGateway(between(0, gateways - 1));
  else if (kind < 0.4) site.restartCore(between(0, cores - 1));
  else if (kind < 0.5) {
    for (let index = 0; index < cores; index++) site.restartCore(index);
  } else if (kind < 0.6) {
    site.cutGateway(between(0, gateways - 1), between(500, 4_000));
  } else if (kind < 0.8) {
    site.engines?.crash(between(0, endpoints - 1));
  } else if (kind < 0.83) {
    // All daemons at once; only the disks of the core remain.
    for (let index = 0; index < cores; index++) {
      site.restartCore(index, {keepsDisk: true});
    }
    for (let index = 0; index < gateways; index++) site.restartGateway(index);
  } else if (kind < 0.88) {
    // A rack: a third of the engines at once.
    const first = between(0, endpoints - 1);
    for (let index = 0; index < endpoints / 3; index++) {
      site.engines?.crash((first + index) % endpoints);
    }
  }
}

/** Ends drawn engines; `flaps` is their mean number. */
export function runFlaps(
  site: SimulatedSite,
  {endpoints}: Pick<SiteSize, 'endpoints'>,
  {draws, flaps}: {readonly draws: Draws; readonly flaps: number},
): void {
  for (let left = flaps; left > 0; left--) {
    if (draws.next() < left)
      site.engines?.crash(draws.between(0, endpoints - 1));
  }
}
