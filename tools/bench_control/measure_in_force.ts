/** Measures the time until an applied declaration is in force everywhere. */
import {setTimeout as sleep} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import {request} from 'undici';
import {declarationSchema} from '../../src/protocol/declaration.ts';
import {
  createDeclaration,
  listCustomers,
} from '../../testing/system/declaration.ts';
import {System} from '../../testing/system/system.ts';

/** Time between two declarations. */
const PAUSE_MS = 150;

/** Downtime and uptime of each host in the part with restarts. */
const DOWN_MS = 1_500;
const UP_MS = 4_000;

const CUSTOMERS = listCustomers(10);

const HOSTS = [
  {name: 'a1', region: 'north', dataCentre: 'a', disk: true},
  {name: 'a2', region: 'north', dataCentre: 'a', disk: true},
  {name: 'b1', region: 'south', dataCentre: 'b', disk: true},
  {name: 'a3', region: 'north', dataCentre: 'a', disk: false},
  {name: 'b2', region: 'south', dataCentre: 'b', disk: false},
  {name: 'b3', region: 'south', dataCentre: 'b', disk: false},
];

/** Number of declarations applied in each part. */
const IDLE_APPLIES = 40;
const RESTART_APPLIES = 15;

/** Applies declarations, first without faults and then while hosts restart. */
export async function measureInForce(): Promise<string[]> {
  await using system = await System.start({hosts: HOSTS, endpoints: []});
  await system.waitForAllHosts();
  const lines: string[] = [];
  let version = 1;
  lines.push(await applyMany(system, 'idle', IDLE_APPLIES, () => version++));
  const restarting = {active: true};
  const restarts = restartHosts(system, restarting);
  lines.push(
    await applyMany(system, 'restarts', RESTART_APPLIES, () => version++),
  );
  restarting.active = false;
  lines.push(`restarts: ${await restarts} hosts killed and started`);
  return lines;
}

async function applyMany(
  system: System,
  label: string,
  count: number,
  nextVersion: () => number,
): Promise<string> {
  const histogram = build();
  let unconfirmed = 0;
  for (let number = 0; number < count; number++) {
    const startedAt = performance.now();
    const confirmed = await applyOne(system, nextVersion());
    if (confirmed) histogram.recordValue(performance.now() - startedAt);
    else unconfirmed++;
    await sleep(PAUSE_MS);
  }
  const [p50, p99] = [50, 99].map(each => histogram.getValueAtPercentile(each));
  return `in force, ${label}: p50 ${p50} ms, p99 ${p99} ms, max ${histogram.maxValue.toFixed(0)} ms, ${count} applied, ${unconfirmed} not confirmed in 9 s`;
}

/**
 * Sends a declaration to `a3`, the host that is never killed. Returns whether
 * it is confirmed to be in force.
 */
async function applyOne(system: System, version: number): Promise<boolean> {
  const declaration = declarationSchema.parse(
    createDeclaration(version, CUSTOMERS),
  );
  const address = system.getPublicAddress('a3');
  const response = await request(`http://${address}/operator/commands`, {
    method: 'POST',
    headers: {authorization: 'Bearer operator-secret'},
    body: JSON.stringify({type: 'apply', declaration}),
  });
  const answer = (await response.body.json()) as {inForce?: boolean};
  return answer.inForce === true;
}

/** Kills and restarts one host after another; returns how many. */
async function restartHosts(
  system: System,
  control: {active: boolean},
): Promise<number> {
  const names = HOSTS.map(host => host.name).filter(name => name !== 'a3');
  let count = 0;
  while (control.active) {
    const host = system.daemons.get(names[count % names.length] ?? '');
    await host?.kill();
    await sleep(DOWN_MS);
    host?.start();
    count++;
    await sleep(UP_MS);
  }
  return count;
}
