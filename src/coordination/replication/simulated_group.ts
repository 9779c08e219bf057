/**
 * A group of replicas on a simulated clock, network and disks, for tests.
 *
 * While it runs, it checks that no term has two leaders, that no two members
 * lead at the same time, that no voter is listed twice, and that all members
 * apply the same commands in the same order.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {ProposeReply} from '../../protocol/peer_service.ts';
import type {Member, ReplicationService} from '../../protocol/replication.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {MemoryFileSystem} from '../../state/files/memory_file_system.ts';
import {openFileLog, type FileLog} from '../../state/log/file_log.ts';
import {formatMember, isSameMember} from './member.ts';
import {Recorder} from './recorder_fake.ts';
import type {ReplicaPeer} from './peer_replicator.ts';
import {Replica} from './replica.ts';

/** Simulated time between two checks of the invariants. */
const CHECK_INTERVAL_MS = 25;

const FOLDER = '/data/group';

/**
 * The clock of one host. While the host is frozen, its sleeps do not return,
 * as in a suspended process.
 */
class HostClock implements Clock {
  private unfreeze: (() => void) | null = null;
  private frozen: Promise<void> = Promise.resolve();

  constructor(private readonly clock: Clock) {}

  now(): number {
    return this.clock.now();
  }

  monotonic(): number {
    return this.clock.monotonic();
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(ms, signal);
    await this.frozen;
  }

  /** Resolves at once, or when a frozen host is resumed. */
  waitUntilRunning(): Promise<void> {
    return this.frozen;
  }

  freeze(): void {
    if (this.unfreeze) return;
    this.frozen = new Promise(resolve => (this.unfreeze = resolve));
  }

  resume(): void {
    this.unfreeze?.();
    this.unfreeze = null;
  }
}

/** A host of the group. */
export interface SimulatedHost {
  readonly name: string;
  readonly files: MemoryFileSystem;
  readonly clock: HostClock;
  /** `null` while the host is down. */
  replica: Replica<string, number> | null;
  storage: FileLog | null;
  recorder: Recorder;
  incarnation: string;
}

export interface SimulatedGroupOptions {
  readonly hosts: readonly string[];
  readonly voterCount: number;
  /** How many of the hosts bootstrap the group; all by default. */
  readonly bootstrapHostCount?: number;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  /** Number of entries after which a snapshot is taken; 10 by default. */
  readonly snapshotEntries?: number;
}

/** Faults of the network: probabilities of faults and the longest delay. */
export interface NetworkFaults {
  drop: number;
  duplicate: number;
  maxDelayMs: number;
}

/** A running group. */
export class SimulatedGroup {
  readonly clock = new SimulatedClock();
  readonly hosts = new Map<string, SimulatedHost>();
  readonly network: NetworkFaults = {drop: 0, duplicate: 0, maxDelayMs: 4};
  /** Hosts that can neither send nor receive. */
  readonly isolated = new Set<string>();
  /** The violated invariants; empty in a correct implementation. */
  readonly violations: string[] = [];
  private readonly leaders = new Map<number, string>();
  private readonly hashes = new Map<number, number>();

  constructor(private readonly options: SimulatedGroupOptions) {
    for (const name of options.hosts) {
      this.hosts.set(name, {
        name,
        files: new MemoryFileSystem(),
        clock: new HostClock(this.clock),
        replica: null,
        storage: null,
        recorder: this.createRecorder(name),
        incarnation: '',
      });
    }
  }

  /** Starts all hosts. */
  async startAll(): Promise<void> {
    for (const name of this.hosts.keys()) await this.start(name);
  }

  /** Starts a host that is down. */
  async start(name: string): Promise<void> {
    const host = this.getHost(name);
    if (host.replica) return;
    const storage = await this.openLog(name);
    host.storage = storage;
    host.incarnation = storage.incarnation;
    host.recorder = this.createRecorder(name);
    const hosts = this.options.hosts.map(each => ({
      name: each,
      region: 'plovdiv',
      dataCentre: each,
    }));
    host.replica = await Replica.open<string, number>({
      group: 'group',
      name,
      bootstrapHosts: hosts.slice(0, this.options.bootstrapHostCount),
      listHosts: () => hosts,
      voterCount: this.options.voterCount,
      storage,
      stateMachine: host.recorder,
      getPeer: to => this.createPeer(name, to),
      clock: host.clock,
      random: this.options.random,
      logger: this.createLogger(name),
      snapshotEntries: this.options.snapshotEntries ?? 10,
      replaceAfterMs: 8_000,
    });
    host.replica.start();
  }

  /** Opens the log of a host that is down. */
  async openLog(name: string): Promise<FileLog> {
    const opened = await openFileLog({
      folder: FOLDER,
      files: this.getHost(name).files.connect(),
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
    host.files.crash(this.options.random);
    // Stops the tasks of the crashed process. Their effects are discarded.
    void replica?.[Symbol.asyncDispose]().catch(() => {});
  }

  /** Crashes a host and erases its disk. */
  loseDisk(name: string): void {
    this.crash(name);
    this.getHost(name).files.erase();
  }

  /** Advances the clock, checking the invariants at an interval. */
  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += CHECK_INTERVAL_MS) {
      await this.clock.advance(Math.min(CHECK_INTERVAL_MS, ms - passed));
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
    const host = this.getHost(voter.name);
    return host.replica !== null && isSameMember(voter, host);
  }

  private createRecorder(name: string): Recorder {
    return new Recorder((index, hash) => {
      const known = this.hashes.get(index);
      if (known !== undefined && known !== hash) {
        this.violations.push(`${name} applied a different entry ${index}`);
      }
      this.hashes.set(index, hash);
    });
  }

  private createLogger(name: string): Logger {
    return {
      ...silentLogger,
      info: (message, fields) => {
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

  private createPeer(from: string, to: string): ReplicaPeer {
    const call =
      (method: keyof ReplicationService) =>
      (request: never, timeoutMs: number) =>
        this.send({from, to, method, request, timeoutMs});
    const names: Array<keyof ReplicationService> = [
      'vote',
      'append',
      'installSnapshot',
      'describeReplica',
      'formGroup',
      'transferLeadership',
    ];
    return Object.fromEntries(
      names.map(name => [name, call(name)]),
    ) as unknown as ReplicaPeer;
  }

  private async send(message: {
    from: string;
    to: string;
    method: keyof ReplicationService;
    request: unknown;
    timeoutMs: number;
  }): Promise<unknown> {
    const {timeoutMs} = message;
    const deliver = this.deliver(message);
    const timeout = this.clock.sleep(timeoutMs).then(() => {
      throw new Error('Timed out');
    });
    if (this.options.random() < this.network.duplicate) {
      void this.deliver(message).catch(() => {});
    }
    deliver.catch(() => {});
    return Promise.race([deliver, timeout]);
  }

  private async deliver(message: {
    from: string;
    to: string;
    method: keyof ReplicationService;
    request: unknown;
  }): Promise<unknown> {
    const {from, to, method} = message;
    const request = structuredClone(message.request);
    await this.delayOrDrop(from, to);
    await this.getHost(to).clock.waitUntilRunning();
    const {replica} = this.getHost(to);
    if (!replica) return this.neverReply();
    const reply = await handleCall(replica, method, request);
    if (this.getHost(to).replica !== replica) return this.neverReply();
    await this.delayOrDrop(to, from);
    await this.getHost(from).clock.waitUntilRunning();
    return structuredClone(reply);
  }

  /** Delays a message, or never resolves if the message is dropped. */
  private async delayOrDrop(from: string, to: string): Promise<void> {
    const {drop, maxDelayMs} = this.network;
    const lost = this.options.random() < drop;
    await this.clock.sleep(1 + this.options.random() * maxDelayMs);
    const cut = this.isolated.has(from) || this.isolated.has(to);
    if (lost || cut || !this.getHost(from).replica) await this.neverReply();
  }

  private neverReply(): Promise<never> {
    return new Promise(() => {});
  }
}

async function handleCall(
  replica: Replica<string, number>,
  method: keyof ReplicationService,
  request: unknown,
): Promise<unknown> {
  switch (method) {
    case 'vote':
      return replica.handleVote(request as never);
    case 'append':
      return replica.handleAppend(request as never);
    case 'installSnapshot':
      return replica.handleInstall(request as never);
    case 'describeReplica':
      return replica.describe();
    case 'formGroup':
      return replica.handleForm(request as never);
    case 'transferLeadership':
      return replica.handleTransfer(request as never);
  }
}
