/**
 * Starts a whole system of real processes on loopback addresses: daemons,
 * stand-in engines and stand-in services.
 */
import {execFile} from 'node:child_process';
import {createHash} from 'node:crypto';
import {mkdir, mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {promisify} from 'node:util';
import {stringify} from 'smol-toml';
import {request} from 'undici';
import {declarationSchema} from '../../src/protocol/declaration.ts';
import {digestDeclaration} from '../../src/protocol/digest_declaration.ts';
import type {BillRecord} from '../../src/protocol/ledger.ts';
import type {StandInOptions} from '../stand_ins/stand_in_options.ts';
import type {RunRecord} from '../records/call_record.ts';
import {FaultProxy} from '../proxy/fault_proxy.ts';
import {findConnectionOwner} from '../proxy/connection_owner.ts';
import {readRunRecords} from '../stand_ins/run_recorder.ts';
import type {RunStep} from '../stand_ins/step_gate.ts';
import {TestProcess} from './child_process.ts';
import {allocateLoopback} from './loopback.ts';
import {createNetwork, type NetworkOptions} from './network.ts';

const PUBLIC_PORT = 8080;
const PEER_PORT = 8081;
const ENDPOINT_PORT = 9000;

/** The name under which the proxy lists the test's own connections. */
export const CALLER = 'caller';

const OPERATOR_SECRET = 'operator-secret';

/** The time a daemon may take to answer a status request. */
const STATUS_TIMEOUT_MS = 2_000;

/** The default time `waitFor` polls for a condition. */
const DEFAULT_TIMEOUT_MS = 20_000;

export interface HostOptions {
  readonly name: string;
  readonly region: string;
  readonly dataCentre: string;
  /** Whether the host has a disk and therefore runs replicas. */
  readonly disk: boolean;
}

export interface EndpointOptions extends Partial<
  Omit<StandInOptions, 'address' | 'daemons' | 'secret'>
> {
  readonly name: string;
  readonly kind: 'engine' | 'service';
  readonly region: string;
  readonly dataCentre: string;
  readonly pool: string;
  /** The hosts that the endpoint announces itself to. */
  readonly announceTo: readonly string[];
}

export interface SystemOptions {
  readonly hosts: readonly HostOptions[];
  readonly endpoints: readonly EndpointOptions[];
  /** Settings merged over those that the system generates. */
  readonly settings?: Record<string, unknown>;
  /** Routes all traffic through a fault proxy; direct connections if unset. */
  readonly network?: NetworkOptions;
}

/** Returns the hex SHA-256 of a customer's API key, as in declarations. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** The exit code and output of a run of the command line program. */
export interface CommandResult {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

/** The fields of a daemon's status that tests use. */
export interface HostStatus {
  readonly version: number | null;
  readonly revision: number | null;
  readonly hosts: ReadonlyArray<{name: string}>;
  readonly endpoints: ReadonlyArray<{
    name: string;
    leaving: boolean;
    versions: readonly string[];
  }>;
  readonly rollouts?: ReadonlyArray<{status: string; reason: string}>;
  readonly groups: ReadonlyArray<{
    group: string;
    incarnation: string;
    leader: string | null;
    applied: number;
    membership: {
      voters: ReadonlyArray<{name: string; incarnation: string}>;
    } | null;
    settled: boolean;
  }>;
  readonly control?: {leader: string | null; applied: number};
}

/** A running system. Disposing it kills every process. */
export class System implements AsyncDisposable {
  readonly daemons = new Map<string, TestProcess>();
  readonly endpoints = new Map<string, TestProcess>();
  private readonly ips = new Map<string, string>();
  private nextFileNumber = 1;
  private readonly proxied = new Map<string, string>();
  private readonly faultProxy: FaultProxy | null = null;

  private constructor(
    readonly folder: string,
    private readonly options: SystemOptions,
  ) {
    if (!options.network) return;
    this.faultProxy = new FaultProxy({
      identify: port => this.identify(port),
      describeLink: createNetwork(
        [...options.hosts, ...options.endpoints],
        options.network,
      ),
    });
  }

  /** The fault proxy; throws unless `network` was set. */
  get proxy(): FaultProxy {
    if (!this.faultProxy)
      throw new Error('Could not find the proxy: `network` is not set');
    return this.faultProxy;
  }

  /** Writes the settings files and starts all processes. */
  static async start(options: SystemOptions): Promise<System> {
    const folder = await mkdtemp(join(tmpdir(), 'parsleypond-'));
    const system = new System(folder, options);
    await system.prepare();
    for (const daemon of system.daemons.values()) daemon.start();
    for (const endpoint of system.endpoints.values()) endpoint.start();
    return system;
  }

  /** The address of a host's public listener. */
  getPublicAddress(host: string): string {
    return `${this.getIp(host)}:${PUBLIC_PORT}`;
  }

  /** The address of a host's peer listener. */
  getPeerAddress(host: string): string {
    return `${this.getIp(host)}:${PEER_PORT}`;
  }

  getEndpointAddress(endpoint: string): string {
    return `${this.getIp(endpoint)}:${ENDPOINT_PORT}`;
  }

  getDataFolder(host: string): string {
    return join(this.folder, host, 'data');
  }

  /** Runs the command line program against `host`. */
  async runCommand(
    host: string,
    args: readonly string[],
  ): Promise<CommandResult> {
    const connection = [
      '--address',
      this.getPublicAddress(host),
      '--secret',
      join(this.folder, 'operator.secret'),
      '--json',
    ];
    try {
      const {stdout, stderr} = await promisify(execFile)(
        'dist/parsleypond',
        [...args, ...connection],
        {maxBuffer: 64 * 1024 * 1024},
      );
      return {code: 0, output: stdout, errors: stderr};
    } catch (error) {
      const {code, stdout, stderr} = error as {
        code: number;
        stdout: string;
        stderr: string;
      };
      return {code, output: stdout, errors: stderr};
    }
  }

  /** Writes a declaration and applies it through `host`. */
  async apply(host: string, declaration: Record<string, unknown>) {
    const file = join(this.folder, `declaration-${this.nextFileNumber++}.toml`);
    await writeFile(file, stringify(declaration));
    return this.runCommand(host, ['apply', file]);
  }

  /** Applies a declaration over HTTP; returns the status code. */
  async applyDirectly(
    host: string,
    content: Record<string, unknown>,
  ): Promise<number> {
    const declaration = declarationSchema.parse(content);
    const digest = digestDeclaration(declaration);
    const address = this.getPublicAddress(host);
    const response = await request(`http://${address}/operator/commands`, {
      method: 'POST',
      headers: {authorization: `Bearer ${OPERATOR_SECRET}`},
      body: JSON.stringify({type: 'apply', declaration, digest}),
    });
    await response.body.dump();
    return response.statusCode;
  }

  /** Waits until `/readyz` of every daemon answers 200. */
  async waitForAllHosts(): Promise<void> {
    await Promise.all(
      [...this.daemons.keys()].map(host => this.waitForHost(host)),
    );
  }

  /** Waits until `/readyz` of one daemon answers 200. */
  async waitForHost(host: string): Promise<void> {
    await waitFor(`${host} is ready`, async () => {
      const response = await request(
        `http://${this.getPublicAddress(host)}/readyz`,
      );
      await response.body.dump();
      return response.statusCode === 200;
    });
  }

  /** Exports the bills of a host that has a disk. */
  async readBills(host: string): Promise<BillRecord[]> {
    const {output} = await this.runCommand(host, ['bills', 'export']);
    return JSON.parse(output) as BillRecord[];
  }

  /** Lists the runs that all endpoints recorded, across restarts. */
  listRuns(): RunRecord[] {
    return [...this.endpoints.keys()].flatMap(name =>
      readRunRecords(this.getRecordFile(name)),
    );
  }

  /** The gateways' addresses for callers: the proxy's, if one is set. */
  listCallerAddresses(): string[] {
    return [...this.daemons.keys()].map(host =>
      this.resolveAddress(this.getPublicAddress(host), host),
    );
  }

  /** A gateway's address for callers: the proxy's, if one is set. */
  getCallerAddress(host: string): string {
    return this.resolveAddress(this.getPublicAddress(host), host);
  }

  /** Reads a daemon's status, bypassing the proxy. */
  async readStatus(host: string): Promise<HostStatus> {
    const address = this.getPublicAddress(host);
    const response = await request(`http://${address}/operator/status`, {
      headers: {authorization: `Bearer ${OPERATOR_SECRET}`},
      headersTimeout: STATUS_TIMEOUT_MS,
    });
    return (await response.body.json()) as HostStatus;
  }

  /** Waits until a host with a disk reports a control leader that runs. */
  async findLeader(): Promise<string> {
    let leader: string | null = null;
    await waitFor('a leader is known', async () => {
      for (const host of this.listDiskHosts()) {
        const status = await this.readStatus(host).catch(() => null);
        leader = status?.control?.leader ?? null;
        if (leader !== null && this.daemons.get(leader)?.running) return true;
      }
      return false;
    });
    return leader ?? '';
  }

  /** Lists the hosts that run replicas. */
  listDiskHosts(): string[] {
    return this.options.hosts.filter(each => each.disk).map(each => each.name);
  }

  /** Holds the runs of an endpoint at a step; `null` releases them. */
  async hold(endpoint: string, step: RunStep | null): Promise<void> {
    const address = this.getEndpointAddress(endpoint);
    const response = await request(`http://${address}/hold?${step ?? ''}`, {
      method: 'POST',
    });
    await response.body.dump();
  }

  /** Counts the runs that an endpoint currently holds. */
  async countHeld(endpoint: string): Promise<number> {
    const address = this.getEndpointAddress(endpoint);
    const response = await request(`http://${address}/held`);
    return ((await response.body.json()) as {held: number}).held;
  }

  /** Deletes a host's data folder. */
  async loseDisk(host: string): Promise<void> {
    await rm(this.getDataFolder(host), {recursive: true, force: true});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const processes = [...this.daemons.values(), ...this.endpoints.values()];
    await Promise.all(processes.map(each => each.kill()));
    await this.faultProxy?.[Symbol.asyncDispose]();
    await rm(this.folder, {recursive: true, force: true});
  }

  private getIp(name: string): string {
    const ip = this.ips.get(name);
    if (!ip) throw new Error(`Could not find "${name}" in this system`);
    return ip;
  }

  private getRecordFile(endpoint: string): string {
    return join(this.folder, `${endpoint}.runs`);
  }

  /** Returns the name of the process that owns the local `port`. */
  private identify(port: number): string {
    const processes = [...this.daemons, ...this.endpoints];
    const names = new Map([[process.pid, CALLER]]);
    for (const [name, {pid}] of processes) if (pid) names.set(pid, name);
    const owner = findConnectionOwner(port, [...names.keys()]);
    return names.get(owner ?? 0) ?? '';
  }

  /** Returns the address that other processes use for a listener. */
  private resolveAddress(address: string, name: string): string {
    if (!this.faultProxy) return address;
    const known = this.proxied.get(address);
    if (known !== undefined) return known;
    const proxied = this.faultProxy.add(address, name);
    this.proxied.set(address, proxied);
    return proxied;
  }

  private async prepare(): Promise<void> {
    const {hosts, endpoints} = this.options;
    for (const {name} of [...hosts, ...endpoints]) {
      this.ips.set(name, allocateLoopback());
    }
    for (const kind of ['peer', 'operator', 'endpoint']) {
      await writeFile(join(this.folder, `${kind}.secret`), `${kind}-secret\n`);
    }
    for (const host of hosts) await this.prepareHost(host);
    for (const endpoint of endpoints) this.prepareEndpoint(endpoint);
  }

  private async prepareHost(host: HostOptions): Promise<void> {
    const resolve = (address: string, name: string) =>
      this.resolveAddress(address, name);
    const settings = {
      name: host.name,
      region: host.region,
      data_centre: host.dataCentre,
      ...(host.disk ? {data_folder: this.getDataFolder(host.name)} : {}),
      listen: {
        public: this.getPublicAddress(host.name),
        peers: this.getPeerAddress(host.name),
      },
      advertise: {
        public: resolve(this.getPublicAddress(host.name), host.name),
        peers: resolve(this.getPeerAddress(host.name), host.name),
      },
      replicas: this.options.hosts
        .filter(each => each.disk)
        .map(each => ({
          name: each.name,
          region: each.region,
          data_centre: each.dataCentre,
          address: resolve(this.getPeerAddress(each.name), each.name),
        })),
      secrets: {
        peer_file: join(this.folder, 'peer.secret'),
        operator_file: join(this.folder, 'operator.secret'),
        endpoint_file: join(this.folder, 'endpoint.secret'),
      },
      log: {level: 'info', format: 'json'},
      ...this.options.settings,
    };
    await mkdir(join(this.folder, host.name), {recursive: true});
    const file = join(this.folder, host.name, 'settings.toml');
    await writeFile(file, stringify(settings));
    const command = ['dist/parsleypond', 'serve', '--settings', file];
    this.daemons.set(host.name, new TestProcess(host.name, command));
  }

  private prepareEndpoint(endpoint: EndpointOptions): void {
    const resolve = (address: string, name: string) =>
      this.resolveAddress(address, name);
    const {announceTo, kind, ...rest} = endpoint;
    const address = this.getEndpointAddress(endpoint.name);
    const options = {
      ...rest,
      address,
      advertise: resolve(address, endpoint.name),
      daemons: announceTo.map(host =>
        resolve(this.getPublicAddress(host), host),
      ),
      secret: 'endpoint-secret',
      recordFile: this.getRecordFile(endpoint.name),
    };
    const program = `dist/stand_ins/${kind}.cjs`;
    const command = [process.execPath, program, JSON.stringify(options)];
    this.endpoints.set(endpoint.name, new TestProcess(endpoint.name, command));
  }
}

/** Polls `check` until it returns true; an error counts as false. */
export async function waitFor(
  what: string,
  check: () => Promise<boolean>,
  timeoutMs: number = DEFAULT_TIMEOUT_MS,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  let reason = '';
  while (performance.now() < deadline) {
    try {
      if (await check()) return;
      reason = '';
    } catch (error) {
      reason = (error as Error).message;
    }
    await sleep(50);
  }
  throw new Error(
    `Timed out waiting until ${what}: ${reason || 'check was false'}`,
  );
}
