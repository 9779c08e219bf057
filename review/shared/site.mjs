/**
 * Starts a small deployment of real processes on loopback addresses: five core
 * daemons in three zones and some gateways, with the command of
 * deploy/system.toml and settings as platform/settings.toml.template lays them
 * out.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

/** The bounds of tamar-doors, the site that the claims name. */
export const BOUNDS = {
  contactMs: 4_000,
  ackMs: 5_000,
  drainMs: 3_000,
  graceMs: 8_000,
  configApplyMs: 3_000,
  recoverMs: 12_000,
  beatMs: 1_200,
};

const ZONES = {
  launceston: 'tas-north',
  devonport: 'tas-north',
  hobart: 'tas-south',
};

const CORE_ZONES = [
  'launceston',
  'hobart',
  'devonport',
  'launceston',
  'hobart',
];

const PORTS = {peers: 7_340, control: 8_229, front: 8_227, ready: 8_220};
const DIRECTORY_PORT = 8_231;
const METRICS_PORT = 9_464;

/** The longest time that a case may take. */
const MAX_CASE_MS = 112_000;

/** Whether the case plays its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** The lines of `record.txt`: what was sent, answered and run. */
export class Record {
  constructor(file) {
    this.file = file;
    this.startedAt = performance.now();
    writeFileSync(file, `TROUBLE=${HAS_TROUBLE ? 1 : 0}\n`);
  }

  write(text) {
    const seconds = (performance.now() - this.startedAt) / 1_000;
    const line = `${seconds.toFixed(3).padStart(8)} s  ${text}\n`;
    appendFileSync(this.file, line);
    process.stdout.write(line);
  }
}

/** Finds a network of loopback addresses on which the ports are free. */
export async function findNetwork() {
  for (let attempt = 0; attempt < 50; attempt++) {
    const draw = () => 2 + Math.floor(Math.random() * 250);
    const network = `127.${draw()}.${draw()}`;
    const checks = [...Object.values(PORTS), DIRECTORY_PORT, METRICS_PORT].map(
      port => isFree(`${network}.1`, port),
    );
    if ((await Promise.all(checks)).every(Boolean)) return network;
  }
  throw new Error('Could not find free loopback addresses');
}

async function isFree(host, port) {
  const server = createServer();
  try {
    server.listen(port, host);
    await once(server, 'listening');
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
}

/** A deployment; stop it to end all its processes. */
export class Site {
  children = new Map();
  machines = new Map();

  constructor({network, record, coreCount = 5, gatewayCount = 2}) {
    this.network = network;
    this.record = record;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.cores = CORE_ZONES.slice(0, coreCount).map((zone, index) =>
      this.addMachine({name: `core-${index + 1}`, zone, isCore: true}),
    );
    this.gateways = Object.keys(ZONES)
      .slice(0, gatewayCount)
      .map((zone, index) =>
        this.addMachine({name: `edge-${index + 1}`, zone, isCore: false}),
      );
    this.seeds = this.cores.slice(0, 3).map(({control}) => control);
  }

  addMachine({name, zone, isCore}) {
    const ip = `${this.network}.${10 + this.machines.size}`;
    const machine = {
      name,
      ip,
      zone,
      isCore,
      control: `${ip}:${PORTS.control}`,
      front: `${ip}:${PORTS.front}`,
      ready: `${ip}:${PORTS.ready}`,
    };
    this.machines.set(name, machine);
    return machine;
  }

  get controls() {
    return this.cores.map(({control}) => control);
  }

  /** Starts an empty machine of the core in the place of one that is lost. */
  replaceCore(lost) {
    const name = `core-${this.machines.size + 1}`;
    const added = this.addMachine({name, zone: lost.zone, isCore: true});
    this.cores = [...this.cores.filter(each => each !== lost), added];
    this.start(added, {bootstrap: false});
    return added;
  }

  start(machine, {bootstrap}) {
    const {name, ip, zone, isCore} = machine;
    const folder = join(this.folder, name);
    mkdirSync(folder, {recursive: true});
    const file = join(folder, 'settings.toml');
    const lines = [
      `name = "${name}"`,
      `region = "${ZONES[zone]}"`,
      `data_centre = "${zone}"`,
      ...(isCore ? [`data_folder = ${JSON.stringify(folder)}`] : []),
      `bootstrap = ${bootstrap}`,
      `seeds = ${JSON.stringify(this.seeds)}`,
      'peer_secret_file = "target/peer.secret"',
      '[data_centres]',
      ...Object.entries(ZONES).map(([key, region]) => `"${key}" = "${region}"`),
      '[listen]',
      `metrics = "${ip}:${METRICS_PORT}"`,
      `peers = "${ip}:${PORTS.peers}"`,
      ...(isCore
        ? [`control = "${machine.control}"`]
        : [`front = "${machine.front}"`, `ready = "${machine.ready}"`]),
      `directory = "${ip}:${DIRECTORY_PORT}"`,
      '[bounds]',
      'grace_s = 8',
      'retry_ratio = 0.9',
      'retry_extra = 58',
      'retry_window_s = 10',
      'canary_share = 0.15',
      'directory_ttl_max_s = 5',
      'tolerated_disks = 1',
    ];
    writeFileSync(file, lines.join('\n'));
    const child = spawn(
      process.execPath,
      [
        '--max-old-space-size=200',
        'target/parsleypond.cjs',
        'serve',
        '--settings',
        file,
      ],
      {stdio: ['ignore', 'pipe', 'pipe']},
    );
    const logFile = join(folder, 'daemon.log');
    const writeLog = bytes => appendFileSync(logFile, bytes);
    child.stdout.on('data', writeLog);
    child.stderr.on('data', writeLog);
    child.on('exit', (code, signal) => {
      if (this.children.get(name) !== child) return;
      this.record.write(`${name} ended by itself: ${code ?? signal}`);
    });
    this.children.set(name, child);
  }

  /** Starts all machines within 0.3 s, as at the first start of a site. */
  startAll({bootstrap}) {
    for (const machine of this.machines.values()) {
      this.start(machine, {bootstrap});
    }
  }

  /** Kills machines at the same moment. */
  async kill(machines) {
    const ended = machines.map(({name}) => {
      const child = this.children.get(name);
      this.children.delete(name);
      child.kill('SIGKILL');
      return child.exitCode === null && child.signalCode === null
        ? once(child, 'exit')
        : null;
    });
    await Promise.all(ended);
  }

  /** Reads what a machine logged. */
  readLog({name}) {
    try {
      return readFileSync(join(this.folder, name, 'daemon.log'), 'utf8');
    } catch {
      return '';
    }
  }

  /** Ends all processes and removes their files. */
  async stop() {
    await this.kill(
      [...this.machines.values()].filter(({name}) => this.children.has(name)),
    );
    if (process.env.KEEP === undefined) {
      await sleep(100);
      rmSync(this.folder, {recursive: true, force: true});
    }
  }
}

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, else 2. Each round
 * plays it on a new deployment, until one breaks the rule.
 */
export async function runCase({file, gatewayCount, rounds = 1, play}) {
  const record = new Record(file);
  let site = null;
  let code = 2;
  const deadline = setTimeout(async () => {
    record.write('The case took too long.');
    await site?.stop();
    process.exit(2);
  }, MAX_CASE_MS);
  try {
    let isBroken = false;
    for (let round = 1; round <= rounds && !isBroken; round++) {
      if (rounds > 1) record.write(`round ${round} of ${rounds} at most`);
      const network = await findNetwork();
      site = new Site({network, record, gatewayCount});
      isBroken = await play({site, record, network});
      await site.stop();
    }
    record.write(isBroken ? 'RESULT: the rule is broken' : 'RESULT: it held');
    code = isBroken ? 1 : 0;
  } catch (error) {
    record.write(`The case could not run: ${error.stack}`);
    await site?.stop();
  }
  clearTimeout(deadline);
  process.exit(code);
}
