/** Measures a replica's cost of lease renewals by number of daemons. */
import {PEER_CALLS} from '../../src/protocol/peer_service.ts';
import {readFileSync} from 'node:fs';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {systemClock} from '../../src/protocol/clock.ts';
import {silentLogger} from '../../src/protocol/logger.ts';
import {ConfigurationLease} from '../../src/coordination/leases/configuration_lease.ts';
import {PeerLinks} from '../../src/transport/peers/peer_links.ts';
import {DisposableStore} from '../../src/cli/serve/disposable_store.ts';
import {
  createDeclaration,
  listCustomers,
} from '../../testing/system/declaration.ts';
import {System} from '../../testing/system/system.ts';

/** Warm-up time before each measurement, and its duration. */
const SETTLE_MS = 3_000;
const MEASURE_MS = 10_000;

/** Clock ticks of CPU time per second, in /proc. */
const TICKS_PER_S = 100;

const COUNTS = [3, 50, 100, 200];

/** Measures one daemon that is the only replica of the control group. */
export async function measureRenewals(): Promise<string[]> {
  const host = {name: 'r1', region: 'north', dataCentre: 'a', disk: true};
  await using system = await System.start({hosts: [host], endpoints: []});
  await system.waitForAllHosts();
  await system.applyDirectly('r1', createDeclaration(1, listCustomers(10)));
  const pid = system.daemons.get('r1')?.pid ?? 0;
  const base = await measure(pid, 0);
  const lines = [formatRow(0, base)];
  for (const count of COUNTS) {
    await using clients = startClients(count, system.getPeerAddress('r1'));
    await sleep(SETTLE_MS);
    lines.push(formatRow(count, await measure(pid, count)));
    void clients;
  }
  return lines;
}

interface ReplicaCost {
  /** Share of one core. */
  readonly core: number;
  readonly residentMb: number;
  /** Bytes per second and daemon, sent and received, without TCP headers. */
  readonly bytesPerDaemon: number;
}

async function measure(pid: number, clients: number): Promise<ReplicaCost> {
  const before = {cpu: readCpuSeconds(pid), bytes: readSocketBytes()};
  await sleep(MEASURE_MS);
  const seconds = MEASURE_MS / 1_000;
  return {
    core: (readCpuSeconds(pid) - before.cpu) / seconds,
    residentMb: readResidentMb(pid),
    bytesPerDaemon:
      clients === 0
        ? 0
        : (readSocketBytes() - before.bytes) / seconds / clients,
  };
}

function formatRow(clients: number, cost: ReplicaCost): string {
  const core = (cost.core * 100).toFixed(1);
  const bytes = cost.bytesPerDaemon.toFixed(0);
  return `renewals, ${clients} daemons: ${core}% of a core, ${cost.residentMb.toFixed(0)} MB resident, ${bytes} B/s a daemon`;
}

/** Starts the lease clients of many daemons, each with its own link. */
function startClients(count: number, address: string): DisposableStore {
  const clients = new DisposableStore();
  for (let number = 0; number < count; number++) {
    const links = clients.add(
      new PeerLinks({
        secret: 'peer-secret',
        clock: systemClock,
        calls: PEER_CALLS,
      }),
    );
    const name = `d${number}`;
    const lease = clients.add(
      new ConfigurationLease({
        clock: systemClock,
        logger: silentLogger,
        incarnation: 'inc_0123456789abcdef01234567',
        describeHost: () => ({
          name,
          region: 'north',
          dataCentre: 'a',
          publicAddress: '10.0.0.1:8080',
          peerAddress: '10.0.0.1:8081',
          gateway: true,
          leaving: false,
        }),
        renew: request =>
          links.get(address).renewLease(request, request.waitMs + 700),
      }),
    );
    lease.start();
  }
  return clients;
}

/** CPU time of a process since its start, in seconds. */
function readCpuSeconds(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S;
}

function readResidentMb(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1_024;
}

/** Bytes sent and received on this process's open sockets to the daemon. */
function readSocketBytes(): number {
  const {_getActiveHandles: listHandles} = process as unknown as {
    _getActiveHandles: () => object[];
  };
  const handles = listHandles.call(process) as Array<Partial<Socket>>;
  return handles
    .filter(handle => handle.remotePort === 8081)
    .reduce(
      (sum, handle) =>
        sum + (handle.bytesRead ?? 0) + (handle.bytesWritten ?? 0),
      0,
    );
}
