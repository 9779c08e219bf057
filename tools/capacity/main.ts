/**
 * `npm run capacity -- [--seconds S]` measures the cost of the control plane
 * for a daemon, by number of gateways and endpoints, without requests.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Command} from 'commander';
import {
  System,
  type EndpointOptions,
  type HostOptions,
} from '../../testing/system/system.ts';

import {fitLine} from './fit_line.ts';
import {readUsage, type ProcessUsage} from './process_usage.ts';

const command = new Command('capacity').option(
  '--seconds <seconds>',
  'duration of one measurement',
  '15',
);
const seconds = Number(command.parse().opts<{seconds: string}>().seconds);

const place = {region: 'north', dataCentre: 'north-a'};
const DISK_HOSTS = 3;
const SETTLE_MS = 5_000;

interface Point {
  readonly gateways: number;
  readonly endpoints: number;
  /** Mean over the gateways. */
  readonly gatewayCpuPercent: number;
  readonly gatewayResidentMb: number;
  readonly gatewayBytesPerSecond: number;
  /** Of the host with a disk that used the most CPU time. */
  readonly leaderCpuPercent: number;
  readonly leaderResidentMb: number;
  readonly leaderBytesPerSecond: number;
}

const byGateways: Point[] = [];
for (const gateways of [1, 4, 8, 12]) {
  byGateways.push(await measure(gateways, 0));
}
const byEndpoints: Point[] = [];
for (const endpoints of [0, 6, 12]) {
  byEndpoints.push(await measure(3, endpoints));
}
printFits('gateways', byGateways);
printFits('endpoints', byEndpoints);

async function measure(gateways: number, endpoints: number): Promise<Point> {
  const hosts = createHosts(gateways);
  await using system = await System.start({
    hosts,
    endpoints: createEndpoints(endpoints),
    network: {},
  });
  await system.waitForAllHosts();
  await sleep(SETTLE_MS);
  const names = hosts.map(host => host.name);
  const before = new Map(
    names.map(name => [name, readDaemonUsage(system, name)]),
  );
  const bytesBefore = new Map(
    names.map(name => [name, countPeerBytes(system, name)]),
  );
  await sleep(seconds * 1_000);
  const costs = names.map(name => {
    const usage = readDaemonUsage(system, name);
    const cpu = usage.cpuSeconds - (before.get(name)?.cpuSeconds ?? 0);
    const bytes = countPeerBytes(system, name) - (bytesBefore.get(name) ?? 0);
    return {
      name,
      cpuPercent: (cpu / seconds) * 100,
      residentMb: usage.residentMb,
      bytesPerSecond: bytes / seconds,
    };
  });
  const gatewayCosts = costs.filter(cost => cost.name.startsWith('g'));
  const leader = costs
    .filter(cost => cost.name.startsWith('d'))
    .sort((a, b) => b.cpuPercent - a.cpuPercent)[0];
  const computeMean = (pick: (cost: (typeof costs)[number]) => number) =>
    gatewayCosts.reduce((sum, cost) => sum + pick(cost), 0) /
    gatewayCosts.length;
  const point: Point = {
    gateways,
    endpoints,
    gatewayCpuPercent: computeMean(cost => cost.cpuPercent),
    gatewayResidentMb: computeMean(cost => cost.residentMb),
    gatewayBytesPerSecond: computeMean(cost => cost.bytesPerSecond),
    leaderCpuPercent: leader?.cpuPercent ?? 0,
    leaderResidentMb: leader?.residentMb ?? 0,
    leaderBytesPerSecond: leader?.bytesPerSecond ?? 0,
  };
  console.log(JSON.stringify(point));
  return point;
}

function createHosts(gateways: number): HostOptions[] {
  const disks = Array.from({length: DISK_HOSTS}, (_, index) => ({
    name: `d${index}`,
    ...place,
    disk: true,
  }));
  const others = Array.from({length: gateways}, (_, index) => ({
    name: `g${index}`,
    ...place,
    disk: false,
  }));
  return [...disks, ...others];
}

function createEndpoints(count: number): EndpointOptions[] {
  return Array.from({length: count}, (_, index) => ({
    name: `e${index}`,
    kind: 'engine' as const,
    ...place,
    pool: 'drafting',
    versions: ['draft/small'],
    announceTo: ['g0', 'g1'],
  }));
}

function readDaemonUsage(system: System, name: string): ProcessUsage {
  return readUsage(system.daemons.get(name)?.pid ?? 0);
}

/** Bytes sent and received between a daemon and other daemons. */
function countPeerBytes(system: System, name: string): number {
  const daemon = /^[dg]\d/;
  return system.proxy.countBytes(
    (from, to) =>
      (from === name || to === name) && daemon.test(from) && daemon.test(to),
  );
}

function printFits(by: 'gateways' | 'endpoints', points: readonly Point[]) {
  const keys = [
    'gatewayCpuPercent',
    'gatewayResidentMb',
    'gatewayBytesPerSecond',
    'leaderCpuPercent',
    'leaderResidentMb',
    'leaderBytesPerSecond',
  ] as const;
  for (const key of keys) {
    const {slope, intercept, r2} = fitLine(
      points.map(point => ({x: point[by], y: point[key]})),
    );
    console.log(
      `${key} = ${intercept.toFixed(2)} + ${slope.toFixed(3)} * ${by}` +
        ` (r2 ${r2.toFixed(2)})`,
    );
  }
}
