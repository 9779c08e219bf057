/**
 * A group of replicas on a simulated clock, network and disks, for tests.
 *
 * While it runs, it checks that no term has two leaders, that no two members
 * lead at the same time, that no voter is listed twice, and that all members
 * apply the same commands in the same order.
 */
import type {Logger} from '../../protocol/logger.ts';
import type {ProposeReply} from '../../protocol/peer_service.ts';
import type {Member} from '../../protocol/replication.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {FileSystem} from '../../state/files/file_system.ts';
import {MemoryFileSystem} from '../../state/files/memory_file_system.ts';
import {openFileLog, type FileLog} from '../../state/log/file_log.ts';
import {Founder} from './founder.ts';
import {formatMember, isSameMember, type ReplicaHost} from './member.ts';
import {Recorder} from './recorder_fake.ts';
import {Replica} from './replica.ts';
import {SimulatedDirectory} from './simulated_directory.ts';
import {
  HostClock,
  createSlowDisk,
  type SimulatedHost,
} from './simulated_host.ts';
import {SimulatedNetwork} from './simulated_network.ts';

/** Simulated time between two checks of the invariants. */
const CHECK_INTERVAL_MS = 25;

const FOLDER = '/data/group';
const FOUNDER_PATH = '/data/founder';

export interface SimulatedGroupOptions {
  readonly hosts: readonly string[];
  readonly voterCount: number;
  /** How many learners are kept caught up; as many as a replica keeps by default. */
  readonly spareCount?: number | undefined;
  /** How many of the hosts bootstrap the group; all by default. */
  readonly bootstrapHostCount?: number;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  /** Receives the log lines of all hosts, for the trace of a failure. */
  readonly trace?: (line: string, fields?: object) => void;
  /** Number of entries after which a snapshot is taken; 10 by default. */
  readonly snapshotEntries?: number;
  /** Size of the state beside the commands; none by default. */
  readonly stateBytes?: number;
  /** Region and data centre of a host; by default all are in one region. */
  readonly getPlace?: (name: string) => Omit<ReplicaHost, 'name'>;
  /**
   * Whether hosts learn of each other as core daemons do; by default each host
   * lists all hosts of `hosts`.
   */
  readonly hasDiscovery?: boolean;
  /**
   * Whether the hosts that bootstrap the group are founders, as core daemons are; by
   * default the first one forms it with all of them.
   */
  readonly hasFounders?: boolean;
  /** Returns how long a sync takes; 0 by default. */
  readonly drawSyncMs?: (name: string) => number;
  /** Called after each change of what a host has applied, or of its leader. */
  readonly onChange?: (name: string) => void;
}

/** A running group. */
export class SimulatedGroup {
  readonly clock = new SimulatedClock();
  readonly hosts = new Map<string, SimulatedHost>();
  readonly network: SimulatedNetwork;
  /** The violated invariants; empty in a correct implementation. */
  readonly violations: string[] = [];
  private readonly leaders = new Map<number, string>();
  private readonly hashes = new Map<number, number>();

  private readonly directory: SimulatedDirectory;

  constructor(private readonly options: SimulatedGroupOptions) {
    const {clock} = this;
    const {random} = options;
    const findHost = (name: string) => this.hosts.get(name);
    this.network = new SimulatedNetwork({clock, random, findHost});
    this.directory = new SimulatedDirectory({clock, random});
    for (const name of options.hosts) this.addHost(name).bootstraps = true;
  }

  /** Hosts that can neither send nor receive. */
  get isolated(): Set<string> {
    return this.network.isolated;
  }

  /** Adds a host with an empty disk, which is down. */
  addHost(name: string): SimulatedHost {
    const host: SimulatedHost = {
      name,
      place: this.getPlace(name),
      files: new MemoryFileSystem(),
      clock: new HostClock(this.clock),
      bootstraps: false,
      founder: null,
      replica: null,
      storage: null,
      recorder: this.createRecorder(name),
      incarnation: '',
    };
    this.hosts.set(name, host);
    return host;
  }

  /** Removes a host and its disk for good, without warning. */
  removeHost(name: string): void {
    this.loseDisk(name);
    this.hosts.delete(name);
  }

  /** Starts all hosts. */
  async startAll(): Promise<void> {
    for (const name of this.hosts.keys()) await this.start(name);
  }

  /** Starts a host that is down. */
  async start(name: string): Promise<void> {
    const host = this.getHost(name);
    if (host.replica) return;
    this.directory.recordStart(name, this.hosts.keys());
    const storage = await this.openLog(name);
    this.checkKept(host, storage);
    host.storage = storage;
    host.incarnation = storage.incarnation;
    host.recorder = this.createRecorder(name);
    const {hosts, bootstrapHostCount, hasDiscovery, spareCount} = this.options;
    const {onChange} = this.options;
    const initial = hosts.map(each => this.getPlace(each));
    const seeds = host.bootstraps ? initial.slice(0, bootstrapHostCount) : [];
    const {hasFounders = false} = this.options;
    const founders = seeds.map(seed => seed.name);
    host.founder = hasFounders
      ? await this.openFounder(host, {storage, founders})
      : null;
    host.replica = await Replica.open<string, number>({
      group: 'group',
      name,
      bootstrapHosts: hasFounders ? [] : seeds,
      founder: host.founder,
      listHosts: () =>
        hasDiscovery ? this.directory.listHosts(host) : initial,
      voterCount: this.options.voterCount,
      ...(spareCount === undefined ? {} : {spareCount}),
      storage,
      stateMachine: host.recorder,
      getPeer: to => this.network.createPeer(to, {from: host, log: storage}),
      clock: host.clock,
      random: this.options.random,
      logger: this.createLogger(name),
      snapshotEntries: this.options.snapshotEntries ?? 10,
      replaceAfterMs: 8_000,
      onChange: () => onChange?.(name),
    });
    host.replica.start();
  }

  private openFounder(
    host: SimulatedHost,
    {storage, founders}: {storage: FileLog; founders: readonly string[]},
  ): Promise<Founder | null> {
    return Founder.open({
      group: 'group',
      name: host.name,
      founders,
      storage,
      files: this.connectDisk(host),
      path: FOUNDER_PATH,
      ask: (to, request, timeoutMs) =>
        this.network
          .createPeer(to, {from: host, log: storage})
          .proposeFounding(request, timeoutMs),
      logger: this.createLogger(host.name),
    });
  }

  /** Returns the disk of a host for one process. */
  private connectDisk({name, clock, files}: SimulatedHost): FileSystem {
    const disk = files.connect();
    const {drawSyncMs} = this.options;
    return drawSyncMs
      ? createSlowDisk(disk, {clock, drawSyncMs: () => drawSyncMs(name)})
      : disk;
  }

  /** Opens the log of a host that is down. */
  async openLog(name: string): Promise<FileLog> {
    const opened = await openFileLog({
      folder: FOLDER,
      files: this.connectDisk(this.getHost(name)),
      segmentBytes: 600,
      trailingEntries: 4,
    });
    if (!opened.ok) throw opened.error;
    return opened.value;
  }

  /** Crashes a host; its disk keeps only what was synced. */
  crash(name: string): void {
    const host = this.getHost(name);
    const {replica} = host;
    host.replica = null;
    host.founder = null;
    host.files.crash(this.options.random);
    // Stops the tasks of the crashed process. Their effects are discarded.
    void replica?.[Symbol.asyncDispose]().catch(() => {});
  }

  /** Crashes a host and erases its disk. */
  loseDisk(name: string): void {
    this.crash(name);
    const host = this.getHost(name);
    host.files.erase();
    host.storage = null;
  }

  /** Stops a host in an orderly way; its disk keeps what was synced. */
  async stop(name: string, graceMs: number): Promise<void> {
    const {replica, clock} = this.getHost(name);
    const disposed = replica?.[Symbol.asyncDispose]();
    await Promise.race([disposed, clock.sleep(graceMs)]);
    this.crash(name);
  }

  /** Checks that a disk has kept what it had synced before a crash. */
  private checkKept({name, storage}: SimulatedHost, opened: FileLog): void {
    if (!storage) return;
    const [before, after] = [storage, opened].map(log => ({
      term: log.getTerm(log.lastIndex) ?? 0,
      index: log.lastIndex,
    }));
    if (!before || !after || after.term > before.term) return;
    if (after.term === before.term && after.index >= before.index) return;
    this.violations.push(`${name} lost entries that it had synced`);
  }

  /** Advances the clock, checking the invariants at an interval. */
  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += CHECK_INTERVAL_MS) {
      await this.clock.advance(Math.min(CHECK_INTERVAL_MS, ms - passed));
      this.directory.exchange(this.listReachable());
      const leaders = this.listLeaders();
      if (leaders.length > 1) {
        this.violations.push(`${leaders.join(' and ')} lead at the same time`);
      }
      this.checkVoters();
    }
  }

  /** Checks that no disk counts twice towards a majority. */
  private checkVoters(): void {
    for (const {name, replica} of this.hosts.values()) {
      const voters = (replica?.membership?.voters ?? []).map(formatMember);
      if (new Set(voters).size === voters.length) continue;
      this.violations.push(`${name} lists a voter twice: ${voters.join()}`);
    }
  }

  /** Runs until `check` holds; returns false if it fails for `limitMs`. */
  async runUntil(check: () => boolean, limitMs: number): Promise<boolean> {
    for (let passed = 0; passed < limitMs; passed += CHECK_INTERVAL_MS) {
      if (check()) return true;
      await this.run(CHECK_INTERVAL_MS);
    }
    return check();
  }

  /** Lists the names of the hosts that consider themselves leader. */
  listLeaders(): string[] {
    return [...this.hosts.values()]
      .filter(host => host.replica?.isLeader())
      .map(host => host.name);
  }

  /** Lists the hosts that run and are neither frozen nor cut off. */
  listReachable(): SimulatedHost[] {
    return [...this.hosts.values()].filter(
      ({name, replica, clock}) =>
        replica !== null && !clock.isFrozen && !this.isolated.has(name),
    );
  }

  /** Lists the names of the hosts that a host knows, itself included. */
  listKnown(name: string): string[] {
    return this.directory.listHosts(this.getHost(name)).map(each => each.name);
  }

  /** Proposes to the leader; `null` while there is none. */
  propose(command: string): Promise<ProposeReply> | null {
    const [leader] = this.listLeaders();
    if (leader === undefined) return null;
    return this.getHost(leader).replica?.propose(command) ?? null;
  }

  /**
   * Whether the leader's membership is committed and has the target number of
   * voters, all of which are up with the disk that it names.
   */
  isHealthy(): boolean {
    const [leader] = this.listLeaders();
    if (leader === undefined) return false;
    const {replica} = this.getHost(leader);
    if (!replica?.hasCommittedMembership) return false;
    const voters = replica.membership?.voters ?? [];
    if (voters.length !== this.options.voterCount) return false;
    return voters.every(voter => this.isCurrent(voter));
  }

  /** Whether a host with its current disk is a voter, per the leader. */
  isVoter(host: SimulatedHost): boolean {
    const [leader] = this.listLeaders();
    if (leader === undefined) return false;
    const voters = this.getHost(leader).replica?.membership?.voters ?? [];
    return voters.some(voter => isSameMember(voter, host));
  }

  getHost(name: string): SimulatedHost {
    const host = this.hosts.get(name);
    if (!host) throw new Error(`Could not find the host "${name}"`);
    return host;
  }

  private isCurrent(voter: Member): boolean {
    const host = this.hosts.get(voter.name);
    return !!host?.replica && isSameMember(voter, host);
  }

  private getPlace(name: string): ReplicaHost {
    const place = this.options.getPlace?.(name);
    return {region: 'plovdiv', dataCentre: name, ...place, name};
  }

  private createRecorder(name: string): Recorder {
    const {stateBytes = 0} = this.options;
    const onApply = (index: number, hash: number) => {
      const known = this.hashes.get(index);
      if (known !== undefined && known !== hash) {
        this.violations.push(`${name} applied a different entry ${index}`);
      }
      this.hashes.set(index, hash);
    };
    return new Recorder(onApply, 'x'.repeat(stateBytes));
  }

  private createLogger(name: string): Logger {
    const {trace} = this.options;
    const write: Logger['warn'] = (message, fields) =>
      trace?.(`${this.clock.monotonic()} ${name} ${message}`, fields);
    return {
      ...silentLogger,
      error: write,
      warn: write,
      info: (message, fields) => {
        write(message, fields);
        if (message !== 'Becomes leader.') return;
        const term = Number(fields?.['term']);
        const known = this.leaders.get(term);
        if (known !== undefined && known !== name) {
          this.violations.push(`${known} and ${name} lead in term ${term}`);
        }
        this.leaders.set(term, name);
      },
    };
  }
}
