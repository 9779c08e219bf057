/** Plays a seeded history in which hosts of a group are lost and replaced. */
import {createDraws, type Draws} from '../../protocol/seeded_draws.ts';
import type {ReplicaHost} from './member.ts';
import {SimulatedGroup} from './simulated_group.ts';
import type {SimulatedHost} from './simulated_host.ts';
import {
  describeSetting,
  drawSetting,
  isDiskLoss,
  type LossKind,
  type TurnoverSetting,
} from './turnover_setting.ts';
import {TurnoverWatch, type Loss} from './turnover_watch.ts';

/** The target number of voters, as core daemons compute it. */
function computeVoterCount(toleratedLosses: number): number {
  return 2 * Math.max(2, toleratedLosses + 1) + 1;
}

/** Counts the voters of a group of hosts; below the target the number is odd. */
function countVoters({hosts, toleratedLosses}: TurnoverSetting): number {
  const target = computeVoterCount(toleratedLosses);
  return hosts >= target ? target : hosts - (1 - (hosts % 2));
}

/** The number of hosts that form the group. */
const SEED_HOSTS = 3;

/** A host is counted as lost until this long after it is back. */
const CATCH_UP_MS = 4_000;

/** The interval of checks. */
const STEP_MS = 25;

/** The longest time to form the group with all its voters. */
const FORM_MS = 40_000;

/** How long the group is watched after the last loss, and at most. */
const SETTLE_MS = 12_000;
const MAX_SETTLE_MS = 40_000;

const REGION_DELAY_MS = 30;
const FAST_SYNC_MS = 3;
const STOP_GRACE_MS = 3_000;
const MAX_ABSENCE_MS = 6_000;
const DATA_CENTRES = 3;

/** When a proposal without a reply is made again. */
const PROPOSE_TIMEOUT_MS = 1_000;
const PROPOSE_RETRY_MS = 50;
const PROPOSE_DEADLINE_MS = 10_000;

/** What a history showed. */
export interface TurnoverFigures {
  readonly seed: number;
  readonly setting: string;
  readonly stateBytes: number;
  /** Whether the majority was lost for good. */
  readonly isLost: boolean;
  /** What did not hold: the invariants, acknowledged commands, disks. */
  readonly failures: readonly string[];
  /** How long after a successor's start as many losses were borne again. */
  readonly restoreMs: readonly number[];
  /** How long there was no leader that commits, by lost leader. */
  readonly leaderlessMs: readonly number[];
  /** Changes of voters, by loss of a disk and by passing loss. */
  readonly lastingChanges: readonly number[];
  readonly passingChanges: readonly number[];
  /** Proposals in calm stretches that were not committed in time. */
  readonly lateProposals: number;
}

export interface RunTurnoverOptions {
  /** Receives losses and the log lines of all hosts. */
  readonly trace?: ((line: string, fields?: object) => void) | undefined;
}

/** Plays the history of a seed and returns its figures. */
export async function runTurnover(
  seed: number,
  {trace}: RunTurnoverOptions = {},
): Promise<TurnoverFigures> {
  const draws = createDraws(seed);
  const setting = drawSetting(draws);
  const history = new TurnoverHistory(setting, {draws, trace});
  await history.run();
  return {seed, setting: describeSetting(setting), ...history.describe()};
}

/** One history: the hosts, their losses, and the commands proposed meanwhile. */
class TurnoverHistory {
  private readonly group: SimulatedGroup;
  private readonly places = new Map<string, Omit<ReplicaHost, 'name'>>();
  private readonly syncMs = new Map<string, number>();
  /** The hosts whose disks are in use, the oldest disk first. */
  private readonly byDiskAge = new Set<string>();
  private readonly busy = new Set<SimulatedHost>();
  private watch: TurnoverWatch | null = null;
  private hostCount = 0;
  private lossCount = 0;
  private isEnded = false;
  private error: unknown = null;

  private readonly draws: Draws;
  private readonly trace: (line: string, fields?: object) => void;

  constructor(
    private readonly setting: TurnoverSetting,
    {draws, trace = () => {}}: RunTurnoverOptions & {readonly draws: Draws},
  ) {
    this.draws = draws;
    this.trace = trace;
    const {snapshotEntries, stateBytes, hosts, network} = setting;
    const names = Array.from({length: hosts}, () => this.createName());
    this.group = new SimulatedGroup({
      hosts: names,
      voterCount: computeVoterCount(setting.toleratedLosses),
      bootstrapHostCount: Math.min(SEED_HOSTS, hosts),
      random: draws.next,
      trace,
      snapshotEntries,
      stateBytes,
      hasDiscovery: true,
      getPlace: name => this.places.get(name) ?? {region: '', dataCentre: ''},
      drawSyncMs: name =>
        draws.next() * (this.syncMs.get(name) ?? FAST_SYNC_MS),
    });
    Object.assign(this.group.network, network, {
      regionDelayMs: REGION_DELAY_MS,
    });
  }

  async run(): Promise<void> {
    await this.form();
    const {toleratedLosses} = this.setting;
    const watch = this.createWatch();
    watch.check();
    this.runTask(this.runClient());
    const series = Array.from({length: toleratedLosses}, (_, index) =>
      this.runSeries(index),
    );
    let settledAt = Infinity;
    this.runTask(
      Promise.all(series).then(() => (settledAt = this.now + SETTLE_MS)),
    );
    while (!watch.isLost) {
      await this.group.run(STEP_MS);
      watch.check();
      if (this.error) throw this.error;
      const isLate = this.now >= settledAt + MAX_SETTLE_MS - SETTLE_MS;
      if (isLate || (this.now >= settledAt && watch.isRestored)) break;
    }
    this.isEnded = true;
  }

  /** Describes what the history showed. */
  describe(): Omit<TurnoverFigures, 'seed' | 'setting'> {
    const watch = this.getWatch();
    const {losses, failures, lateProposals} = watch;
    const lasting = losses.filter(({kind}) => isDiskLoss(kind));
    const passing = losses.filter(({kind}) => !isDiskLoss(kind));
    return {
      stateBytes: this.setting.stateBytes,
      isLost: watch.isLost,
      failures: [...this.group.violations, ...failures],
      restoreMs: lasting.flatMap(({restoredAt, successorAt}) =>
        successorAt === null
          ? []
          : [Math.round((restoredAt ?? this.now) - successorAt)],
      ),
      leaderlessMs: losses
        .filter(({wasLeader}) => wasLeader)
        .map(loss => Math.round((loss.leaderAt ?? this.now) - loss.startedAt)),
      lastingChanges: lasting.map(({changes}) => changes),
      passingChanges: passing.map(({changes}) => changes),
      lateProposals: lateProposals.length,
    };
  }

  private get now(): number {
    return this.group.clock.monotonic();
  }

  private getWatch(): TurnoverWatch {
    if (!this.watch) throw new Error('Could not watch the group: not formed');
    return this.watch;
  }

  private createWatch(): TurnoverWatch {
    const {toleratedLosses} = this.setting;
    const voters = countVoters(this.setting);
    const fullBorne = Math.floor((voters - 1) / 2);
    const {group} = this;
    this.watch = new TurnoverWatch({group, toleratedLosses, fullBorne});
    return this.watch;
  }

  /** Keeps the error of a task, which ends the history. */
  private runTask(task: Promise<unknown>): void {
    task.catch((error: unknown) => (this.error = error));
  }

  private async form(): Promise<void> {
    this.runTask(this.group.startAll());
    const voters = countVoters(this.setting);
    const isFormed = () => {
      const [leader] = this.group.listLeaders();
      if (leader === undefined) return false;
      const {replica} = this.group.getHost(leader);
      return (
        replica?.membership?.voters.length === voters &&
        replica.hasCommittedMembership
      );
    };
    if (!(await this.group.runUntil(isFormed, FORM_MS))) {
      throw new Error('Could not form the group');
    }
    for (const host of this.group.hosts.values()) host.bootstraps = false;
  }

  private createName(place?: Omit<ReplicaHost, 'name'>): string {
    const {regions, maxSyncMs, slowDiskShare} = this.setting;
    const name = `h${++this.hostCount}`;
    const dataCentre = this.hostCount % DATA_CENTRES;
    const region = `region${dataCentre % regions}`;
    this.places.set(name, place ?? {region, dataCentre: `dc${dataCentre}`});
    const isSlow = this.draws.next() < slowDiskShare;
    this.syncMs.set(name, isSlow ? maxSyncMs : FAST_SYNC_MS);
    this.byDiskAge.add(name);
    return name;
  }

  /** Proposes a command every 100 to 300 ms. */
  private async runClient(): Promise<void> {
    for (let count = 0; !this.isEnded; count++) {
      this.runTask(this.runProposal(`command ${count}`));
      await this.group.clock.sleep(this.draws.between(100, 300));
    }
  }

  private async runProposal(command: string): Promise<void> {
    const {clock} = this.group;
    const watch = this.getWatch();
    const proposal = watch.beginProposal();
    while (
      !this.isEnded &&
      this.now - proposal.startedAt < PROPOSE_DEADLINE_MS
    ) {
      const host = watch.findLeader();
      const replica = host?.replica;
      if (host && replica) {
        const timeout = clock.sleep(PROPOSE_TIMEOUT_MS).then(() => null);
        const reply = await Promise.race([replica.propose(command), timeout]);
        if (reply?.type === 'committed' && host.replica === replica) {
          return watch.recordCommit(proposal, host);
        }
      }
      await clock.sleep(PROPOSE_RETRY_MS);
    }
  }

  /** Loses hosts, each once the one before does not count any more. */
  private async runSeries(index: number): Promise<void> {
    const {clock} = this.group;
    const {draws} = this;
    const {kinds, losses, maxPauseMs} = this.setting;
    if (index > 0) await clock.sleep(draws.between(0, MAX_ABSENCE_MS));
    while (this.lossCount < losses && !this.isEnded) {
      this.lossCount++;
      const kind = kinds[draws.between(0, kinds.length - 1)] ?? 'remove';
      await this.runLoss(kind);
      await clock.sleep(draws.between(0, maxPauseMs));
    }
  }

  private async runLoss(kind: LossKind): Promise<void> {
    const {clock} = this.group;
    const watch = this.getWatch();
    const isRemoval = kind === 'remove' || kind === 'stop';
    const isEarly =
      isRemoval && this.draws.next() < this.setting.earlySuccessorShare;
    const early = isEarly ? await this.startSuccessor() : null;
    const host = this.chooseVictim(early?.name);
    if (!host) return;
    this.busy.add(host);
    this.trace(`${this.now} ${host.name} is lost: ${kind}`);
    const loss = watch.beginLoss(kind, host);
    if (early) watch.recordSuccessor(loss, early.name, early.startedAt);
    if (isRemoval) await this.runRemoval(loss, host);
    else await this.runAbsence(loss, host);
    const backAt = isRemoval ? (loss.successorAt ?? this.now) : this.now;
    await clock.sleep(Math.max(0, backAt + CATCH_UP_MS - this.now));
    this.busy.delete(host);
    this.trace(`${this.now} the loss of ${host.name} is over`);
    watch.finishLoss(loss);
  }

  private async startSuccessor() {
    const name = this.addSuccessor();
    const startedAt = this.now;
    await this.group.clock.sleep(this.draws.between(0, 2_000));
    return {name, startedAt};
  }

  private addSuccessor(place?: Omit<ReplicaHost, 'name'>): string {
    const name = this.createName(place);
    this.trace(`${this.now} ${name} starts as a successor`);
    this.group.addHost(name);
    this.runTask(this.group.start(name));
    return name;
  }

  private chooseVictim(successor?: string): SimulatedHost | undefined {
    const {victim} = this.setting;
    const hosts = this.group
      .listReachable()
      .filter(host => !this.busy.has(host) && host.name !== successor);
    const drawn = hosts[this.draws.between(0, hosts.length - 1)];
    if (victim === 'drawn') return drawn;
    const leader = this.getWatch().findLeader();
    if (victim === 'leader') {
      return leader && hosts.includes(leader) ? leader : drawn;
    }
    const names = [...this.byDiskAge];
    hosts.sort((a, b) => names.indexOf(a.name) - names.indexOf(b.name));
    return victim === 'oldest' ? hosts[0] : hosts.at(-1);
  }

  private async runRemoval(loss: Loss, host: SimulatedHost): Promise<void> {
    const {name} = host;
    const {region, dataCentre} = host.place;
    if (loss.kind === 'stop') await this.group.stop(name, STOP_GRACE_MS);
    this.group.removeHost(name);
    if (loss.successor !== null) return;
    await this.group.clock.sleep(this.draws.between(1_000, 2_000));
    const successor = this.addSuccessor({region, dataCentre});
    this.getWatch().recordSuccessor(loss, successor, this.now);
  }

  private async runAbsence(loss: Loss, host: SimulatedHost): Promise<void> {
    const {group, draws} = this;
    const {name, clock} = host;
    const wait = (minMs: number, maxMs: number) =>
      group.clock.sleep(draws.between(minMs, maxMs));
    if (loss.kind === 'wipe') {
      group.loseDisk(name);
      await wait(1_000, 2_000);
      this.byDiskAge.delete(name);
      this.byDiskAge.add(name);
      this.getWatch().recordSuccessor(loss, name, this.now);
      this.runTask(group.start(name));
    } else if (loss.kind === 'restart') {
      group.crash(name);
      await wait(300, MAX_ABSENCE_MS);
      this.runTask(group.start(name));
    } else if (loss.kind === 'freeze') {
      clock.freeze();
      await wait(200, MAX_ABSENCE_MS);
      clock.resume();
    } else {
      group.isolated.add(name);
      await wait(200, MAX_ABSENCE_MS);
      group.isolated.delete(name);
    }
  }
}
