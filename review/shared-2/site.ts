/**
 * Runs a small site for a case: the daemons as the deploy file starts them, on
 * free loopback ports, with stand-ins for the workers and the operator.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {
  closeSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

const HOST = '127.0.0.1';

/** Why a case could not run; the exit code is 2. */
export class CannotRunError extends Error {}

export interface Reply {
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly text: string;
}

export interface CallOptions {
  readonly method?: string;
  readonly path: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly timeoutMs?: number;
}

/** Sends one HTTP call on a new connection; the status is 0 if it fails. */
export function call(address: string, options: CallOptions): Promise<Reply> {
  const {method = 'GET', path, body, headers = {}, timeoutMs = 2_000} = options;
  const [host = '', port = ''] = address.split(':');
  return new Promise(resolve => {
    const failed = (text: string) => resolve({status: 0, headers: {}, text});
    const sent = httpRequest(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          ...headers,
          ...(body === undefined
            ? {}
            : {'content-length': Buffer.byteLength(body)}),
        },
        signal: AbortSignal.timeout(timeoutMs),
      },
      response => {
        const pieces: Buffer[] = [];
        response.on('data', piece => pieces.push(piece as Buffer));
        response.on('error', error => failed(error.message));
        response.on('end', () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            text: Buffer.concat(pieces).toString(),
          }),
        );
      },
    );
    sent.on('error', error => failed(error.message));
    sent.end(body);
  });
}

/** Finds free ports. */
export async function findPorts(count: number): Promise<number[]> {
  const servers = Array.from({length: count}, () => createServer());
  for (const server of servers) {
    server.listen(0, HOST);
    await once(server, 'listening');
  }
  const ports = servers.map(each => (each.address() as AddressInfo).port);
  for (const server of servers) {
    server.close();
    await once(server, 'close');
  }
  return ports;
}

/** What a daemon is told. */
export interface DaemonAddresses {
  readonly name: string;
  readonly isCore: boolean;
  readonly zone: string;
  readonly region: string;
  readonly peers: string;
  readonly metrics: string;
  readonly directory: string;
  /** The operator's and the workers' address; of core daemons only. */
  readonly control: string;
  /** The requesters' address; of gateways only. */
  readonly front: string;
  readonly ready: string;
}

export interface SiteOptions {
  readonly cores?: number;
  readonly gateways?: number;
  /** Added to the settings of each daemon. */
  readonly settings?: readonly string[];
}

/** The bounds of the sheets. */
const BOUNDS = [
  '[bounds]',
  'grace_s = 8',
  'retry_ratio = 0.9',
  'retry_extra = 52',
  'retry_window_s = 10',
  'canary_share = 0.15',
  'canary_extra = 30',
  'directory_ttl_max_s = 5',
  'tolerated_disks = 1',
];

/** The limits of the sheets' machines. */
const LIMITS = {
  core: {cpu: 0.405, memory: 346, descriptors: 4_096},
  edge: {cpu: 0.675, memory: 350, descriptors: 4_100},
};

const CONTRACTS = [
  ...['base', 'drain', 'config', 'cost', 'retry', 'recover'],
  ...['engine', 'stream', 'tenants', 'rollout'],
];

export class Site implements AsyncDisposable {
  readonly folder = mkdtempSync(join(tmpdir(), 'review-'));
  readonly cores: DaemonAddresses[] = [];
  readonly gateways: DaemonAddresses[] = [];
  /** The seeds that daemons are told; by default all core daemons. */
  private seeds: string[] = [];
  private readonly children = new Map<string, ChildProcess>();
  /** Sites that run at once use other loopback addresses. */
  private readonly subnet = `127.${randomInt(16, 250)}.${randomInt(1, 250)}`;
  private lastIp = 0;

  private constructor(private readonly options: SiteOptions) {}

  /** Starts all daemons; resolves once they were started. */
  static async start(options: SiteOptions = {}): Promise<Site> {
    const {cores = 3, gateways = 2} = options;
    const site = new Site(options);
    // Ports are the same on all machines, as the pages say.
    const [peers, metrics, directory, control, front, ready] =
      await findPorts(6);
    for (let index = 0; index < cores + gateways; index++) {
      const isCore = index < cores;
      const ip = site.allocateIp();
      const daemon: DaemonAddresses = {
        name: isCore ? `core-${index + 1}` : `edge-${index - cores + 1}`,
        isCore,
        zone: 'plovdiv-a',
        region: 'plovdiv',
        peers: `${ip}:${peers}`,
        metrics: `${ip}:${metrics}`,
        directory: `${ip}:${directory}`,
        control: isCore ? `${ip}:${control}` : '',
        front: isCore ? '' : `${ip}:${front}`,
        ready: isCore ? '' : `${ip}:${ready}`,
      };
      (isCore ? site.cores : site.gateways).push(daemon);
    }
    site.seeds = site.cores.map(({control}) => control);
    for (const daemon of [...site.cores, ...site.gateways]) {
      site.startDaemon(daemon, {bootstrap: true});
    }
    return site;
  }

  /** Returns a loopback address that nothing else of the site uses. */
  allocateIp(): string {
    return `${this.subnet}.${++this.lastIp}`;
  }

  /** Starts a daemon, or starts it again after it has ended. */
  startDaemon(daemon: DaemonAddresses, {bootstrap = false} = {}): ChildProcess {
    const folder = join(this.folder, daemon.name);
    mkdirSync(folder, {recursive: true});
    const file = join(folder, 'settings.conf');
    writeFileSync(file, this.formatSettings(daemon, {bootstrap}));
    const log = openSync(join(folder, 'log.txt'), 'a');
    const child = spawn(
      process.execPath,
      [
        '--max-old-space-size=200',
        'target/parsleypond.cjs',
        'serve',
        '--settings',
        file,
      ],
      {stdio: ['ignore', log, log], env: {PATH: process.env['PATH']}},
    );
    closeSync(log);
    this.children.set(daemon.name, child);
    return child;
  }

  /** Finds the process of a daemon. */
  getProcess({name}: DaemonAddresses): ChildProcess {
    const child = this.children.get(name);
    if (!child) throw new CannotRunError(`${name} was not started`);
    return child;
  }

  /** Sends a signal and waits for the end of the process. */
  async end(daemon: DaemonAddresses, signal: NodeJS.Signals): Promise<void> {
    const child = this.getProcess(daemon);
    if (child.exitCode !== null || child.signalCode !== null) return;
    const exited = once(child, 'exit');
    child.kill(signal);
    await exited;
  }

  /** The daemons whose processes have ended. */
  listEnded(): string[] {
    return [...this.children]
      .filter(([, child]) => child.exitCode !== null || child.signalCode)
      .map(([name, child]) => `${name} ${child.exitCode ?? child.signalCode}`);
  }

  /** Sends a call of a worker or the operator until a core daemon takes it. */
  async control(options: CallOptions, withinMs = 30_000): Promise<Reply> {
    const endsAt = Date.now() + withinMs;
    for (let turn = 0; ; turn++) {
      const core = this.cores[turn % this.cores.length] as DaemonAddresses;
      const reply = await call(core.control, {timeoutMs: 1_000, ...options});
      if (reply.status >= 200 && reply.status < 500) return reply;
      if (Date.now() > endsAt) {
        throw new CannotRunError(`no core daemon took ${options.path}`);
      }
      await sleep(100);
    }
  }

  /** Applies a manifest. */
  async applyManifest(manifest: object): Promise<void> {
    const reply = await this.control({
      method: 'POST',
      path: '/parsleypond/config/replace',
      body: JSON.stringify(manifest),
    });
    if (reply.status !== 200) {
      throw new CannotRunError(`manifest: ${reply.status} ${reply.text}`);
    }
  }

  /** Resolves once the gateways are ready. */
  async waitUntilReady(withinMs = 30_000): Promise<void> {
    const endsAt = Date.now() + withinMs;
    for (const {ready} of this.gateways) {
      for (;;) {
        const {status} = await call(ready, {path: '/parsleypond/readyz'});
        if (status === 200) break;
        if (Date.now() > endsAt) throw new CannotRunError('not ready');
        await sleep(100);
      }
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const child of this.children.values()) {
      if (child.exitCode !== null || child.signalCode !== null) continue;
      const exited = once(child, 'exit');
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      await exited;
    }
    if (!process.env['KEEP']) {
      rmSync(this.folder, {recursive: true, force: true});
    }
  }

  private formatSettings(
    daemon: DaemonAddresses,
    {bootstrap}: {bootstrap: boolean},
  ): string {
    const {isCore} = daemon;
    const limits = isCore ? LIMITS.core : LIMITS.edge;
    const data = join(this.folder, daemon.name, 'data');
    const text = JSON.stringify;
    return [
      `name = ${text(daemon.name)}`,
      `region = ${text(daemon.region)}`,
      `data_centre = ${text(daemon.zone)}`,
      ...(isCore ? [`data_folder = ${text(data)}`] : []),
      `bootstrap = ${bootstrap}`,
      `seeds = ${text(this.seeds.slice(0, 3))}`,
      'peer_secret_file = "target/peer.secret"',
      `contracts = ${text(CONTRACTS)}`,
      '[data_centres]',
      '"plovdiv-a" = "plovdiv"',
      '"plovdiv-b" = "plovdiv"',
      '"sofia-a" = "sofia"',
      '[listen]',
      `metrics = ${text(daemon.metrics)}`,
      `peers = ${text(daemon.peers)}`,
      `directory = ${text(daemon.directory)}`,
      ...(isCore
        ? [`control = ${text(daemon.control)}`]
        : [`front = ${text(daemon.front)}`, `ready = ${text(daemon.ready)}`]),
      ...BOUNDS,
      '[host]',
      `cpu_share = ${limits.cpu}`,
      `memory_mib = ${limits.memory}`,
      `descriptors = ${limits.descriptors}`,
      'link_mbps = 1000',
      ...(this.options.settings ?? []),
      '',
    ].join('\n');
  }
}

export interface Presence {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly version?: string;
  readonly zone?: string;
  readonly slots?: number;
}

/** Sends the heartbeats of a worker until it is stopped. */
export class Heartbeats {
  readonly bornMs = Date.now();
  state: 'ready' | 'draining' = 'ready';
  private sequence = 0;
  private isStopped = false;

  constructor(
    private readonly site: Site,
    private readonly presence: Presence,
  ) {}

  /** Starts to send them; resolves once the first one was acknowledged. */
  async start(): Promise<void> {
    await this.send();
    void this.run();
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Sends one heartbeat until it is acknowledged. */
  async send(): Promise<Reply> {
    const {id, service, address, version = 'v1'} = this.presence;
    const {zone = 'plovdiv-a', slots = 64} = this.presence;
    return this.site.control({
      method: 'POST',
      path: `/parsleypond/instances/${id}/heartbeat`,
      body: JSON.stringify({
        Service: service,
        Addr: address,
        Zone: zone,
        Version: version,
        Slots: slots,
        State: this.state,
        ColdLeftMs: 0,
        Seq: ++this.sequence,
        born: this.bornMs,
      }),
    });
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      await sleep(1_000);
      if (this.isStopped) return;
      await this.send().catch(() => {});
    }
  }
}
