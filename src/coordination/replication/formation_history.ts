/** Plays a seeded history in which hosts are lost while they form a group. */
import {createDraws, type Draws} from '../../protocol/seeded_draws.ts';
import {formatMember} from './member.ts';
import {SimulatedGroup} from './simulated_group.ts';

/** The number of hosts that form the group. */
const FOUNDER_COUNT = 3;

const VOTER_COUNT = 5;

/** The interval of checks. */
const STEP_MS = 25;

/** All hosts start within this time of each other. */
const START_SPREAD_MS = 300;

/** Trouble begins at most this long after the first start. */
const MAX_BEGIN_MS = 3_000;

/** A host is counted as lost until this long after it or its successor is up. */
const CATCH_UP_MS = 4_000;

const MAX_ABSENCE_MS = 6_000;
const PROPOSE_INTERVAL_MS = 50;

/** How many losses of any kind, to any hosts, a storm has, and how far apart. */
const STORM_LOSSES = 40;
const MAX_STORM_PAUSE_MS = 200;
const MAX_STORM_ABSENCE_MS = 1_500;

/** The shares of messages that are lost, and that arrive twice, in a storm. */
const MAX_STORM_DROP = 0.4;
const STORM_DUPLICATE = 0.1;

/** How long the group is watched after a storm. */
const AFTER_STORM_MS = 8_000;

/** How long after the last loss a command is waited for. */
const COMMIT_LIMIT_MS = 20_000;

/** What happens while the group is formed. */
export const TROUBLES = [
  /** A founder is lost for good; an empty host starts at another address. */
  'remove',
  /** A founder is cut off and comes back. */
  'cut',
  /** A founder is frozen and comes back. */
  'freeze',
  /** A founder starts late. */
  'late',
  /** A founder loses its disk and starts again at its address. */
  'wipe',
  /** Each host crashes and restarts with its disk, at moments of its own. */
  'restart',
  /** A founder is lost for good while the others crash and restart like this. */
  'remove-and-restart',
  /** All hosts crash at the same moment and restart with their disks. */
  'crash-all',
] as const;

export type Trouble = (typeof TROUBLES)[number];

export interface FormationFigures {
  readonly seed: number;
  readonly setting: string;
  /** When the first command was committed after the trouble, from its last loss. */
  readonly commitMs: number;
  /** The same after one further loss, once the first one does not count any more. */
  readonly furtherMs: number;
  /** What did not hold: invariants, acknowledged commands, foundings. */
  readonly failures: readonly string[];
}

export interface RunFormationOptions {
  readonly trouble: Trouble;
  /** Receives the log lines of all hosts. */
  readonly trace?: ((line: string, fields?: object) => void) | undefined;
}

/** Plays the history of a seed and returns its figures. */
export async function runFormation(
  seed: number,
  {trouble, trace = () => {}}: RunFormationOptions,
): Promise<FormationFigures> {
  const history = new FormationHistory(createDraws(seed), trouble, trace);
  return {seed, ...(await history.run())};
}

/**
 * Plays a history with more losses than are tolerated, in which only safety counts.
 * Returns what did not hold.
 */
export async function runFormationStorm(
  seed: number,
  {trace = () => {}}: Pick<RunFormationOptions, 'trace'>,
): Promise<readonly string[]> {
  return new FormationHistory(createDraws(seed), 'storm', trace).runStorm();
}

/** One history: the hosts, their losses, and the commands proposed meanwhile. */
class FormationHistory {
  private readonly group: SimulatedGroup;
  private readonly names: readonly string[];
  private readonly foundings = new Set<string>();
  private readonly acknowledged = new Set<string>();
  /** How often each host was ended, which also ends a start that is under way. */
  private readonly ends = new Map<string, number>();
  /** After which of its ends a host was started last. */
  private readonly starts = new Map<string, number>();
  /** The founders that have run. */
  private readonly begun = new Set<string>();
  private readonly syncMs: number;
  /** The founder that is lost. */
  private readonly founder: string;
  /** When a command was committed. */
  private readonly commits: number[] = [];
  private isEnded = false;
  private error: unknown = null;

  constructor(
    private readonly draws: Draws,
    private readonly trouble: Trouble | 'storm',
    private readonly trace: NonNullable<RunFormationOptions['trace']>,
  ) {
    const count = draws.between(FOUNDER_COUNT, VOTER_COUNT + 1);
    this.names = Array.from({length: count}, (_, index) => `h${index + 1}`);
    this.founder = `h${draws.between(1, FOUNDER_COUNT)}`;
    this.syncMs = draws.between(0, 20);
    this.group = new SimulatedGroup({
      hosts: this.names,
      voterCount: VOTER_COUNT,
      spareCount: 2,
      bootstrapHostCount: FOUNDER_COUNT,
      hasFounders: true,
      hasDiscovery: true,
      random: draws.next,
      trace,
      drawSyncMs: () => draws.next() * this.syncMs,
    });
    Object.assign(this.group.network, {
      drop: draws.next() < 0.3 ? 0.02 : 0,
      duplicate: draws.next() < 0.3 ? 0.02 : 0,
      maxDelayMs: draws.between(1, 40),
    });
  }

  async run(): Promise<Omit<FormationFigures, 'seed'>> {
    const {draws, group, trouble, syncMs} = this;
    const beginMs = Math.round(draws.log(20, MAX_BEGIN_MS));
    for (const name of this.names) {
      if (trouble === 'late' && name === this.founder) continue;
      this.runTask(this.start(name, draws.between(0, START_SPREAD_MS)));
    }
    this.runTask(this.runClient());
    await this.wait(beginMs);
    this.trace(`${this.now} begins: ${trouble}`);
    const {lostAt, backAt} = await this.runTrouble();
    const commitMs = await this.waitForCommit(lostAt);
    await this.wait(Math.max(0, backAt + CATCH_UP_MS - this.now));
    const furtherMs = await this.runFurtherLoss();
    this.isEnded = true;
    const failures = this.listFailures();
    const {maxDelayMs, drop, duplicate} = group.network;
    const setting = `${trouble} after ${beginMs} ms, ${this.names.length} hosts, sync ${syncMs} ms, delay ${maxDelayMs} ms, drop ${drop}, duplicate ${duplicate}`;
    return {setting, commitMs, furtherMs, failures};
  }

  async runStorm(): Promise<readonly string[]> {
    const {draws, names, group} = this;
    for (const name of names) {
      this.runTask(this.start(name, draws.between(0, START_SPREAD_MS)));
    }
    this.runTask(this.runClient());
    const drop = draws.next() * MAX_STORM_DROP;
    Object.assign(group.network, {drop, duplicate: STORM_DUPLICATE});
    for (let count = 0; count < STORM_LOSSES; count++) {
      const name = names[draws.between(0, names.length - 1)] ?? '';
      this.runStormLoss(name, draws.between(0, 3));
      await this.wait(draws.between(0, MAX_STORM_PAUSE_MS));
    }
    group.network.drop = 0;
    await this.wait(AFTER_STORM_MS);
    this.isEnded = true;
    return this.listFailures();
  }

  private listFailures(): string[] {
    this.checkAcknowledged();
    const failures = [...this.group.violations];
    if (this.foundings.size > 1) {
      failures.push(`two foundings: ${[...this.foundings].join(' and ')}`);
    }
    return failures;
  }

  /** Begins a loss of a host, which ends by itself. */
  private runStormLoss(name: string, kind: number): void {
    const {draws, group} = this;
    const {clock} = group.getHost(name);
    const absenceMs = draws.between(10, MAX_STORM_ABSENCE_MS);
    this.trace(`${this.now} ${name}: loss ${kind} for ${absenceMs} ms`);
    const resume = () => {
      clock.resume();
      group.isolated.delete(name);
      this.startAgain(name);
    };
    if (kind === 0) clock.freeze();
    else if (kind === 1) group.isolated.add(name);
    else if (kind === 2) this.end(name, each => group.crash(each));
    else {
      this.end(name, each => group.loseDisk(each));
      if (this.begun.has(name)) group.getHost(name).bootstraps = false;
    }
    this.runTask(group.clock.sleep(absenceMs).then(resume));
  }

  private get now(): number {
    return this.group.clock.monotonic();
  }

  private runTask(task: Promise<unknown>): void {
    task.catch((error: unknown) => (this.error = error));
  }

  /** Advances the clock, and records the foundings that hosts have stored. */
  private async wait(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await this.group.run(Math.min(STEP_MS, ms - passed));
      if (this.error) throw this.error;
      for (const {storage} of this.group.hosts.values()) {
        const head = storage?.snapshot;
        if (head?.index !== 0) continue;
        const voters = head.membership.voters.map(formatMember).sort();
        this.foundings.add(voters.join());
      }
    }
  }

  /** Starts a host after a delay, unless it is ended before it has started. */
  private async start(name: string, delayMs = 0): Promise<void> {
    const ends = this.countEnds(name);
    await this.group.clock.sleep(delayMs);
    if (this.countEnds(name) !== ends || this.starts.get(name) === ends) return;
    this.starts.set(name, ends);
    try {
      await this.group.start(name);
      if (this.countEnds(name) === ends) this.begun.add(name);
    } catch (error) {
      if (this.countEnds(name) === ends) throw error;
    }
  }

  private countEnds(name: string): number {
    return this.ends.get(name) ?? 0;
  }

  private end(name: string, end: (name: string) => void): void {
    this.ends.set(name, this.countEnds(name) + 1);
    end(name);
  }

  /**
   * Starts a host again. Its settings may say that the system runs already, unless it
   * had not come so far as to leave anything on its disk.
   */
  private startAgain(name: string): void {
    const host = this.group.getHost(name);
    const hasBegun = this.begun.has(name);
    if (hasBegun && this.draws.next() < 0.7) host.bootstraps = false;
    this.runTask(this.start(name));
  }

  private async runClient(): Promise<void> {
    for (let count = 0; !this.isEnded; count++) {
      const command = `command ${count}`;
      const reply = this.group.propose(command);
      const record = async () => {
        if ((await reply)?.type !== 'committed') return;
        this.acknowledged.add(command);
        this.commits.push(this.now);
      };
      this.runTask(record());
      await this.group.clock.sleep(PROPOSE_INTERVAL_MS);
    }
  }

  /** Waits until a command is committed after `since`; returns how long it took. */
  private async waitForCommit(since: number): Promise<number> {
    for (;;) {
      const commitAt = this.commits.find(at => at > since);
      if (commitAt !== undefined) return Math.round(commitAt - since);
      if (this.now - since >= COMMIT_LIMIT_MS) return Infinity;
      await this.wait(STEP_MS);
    }
  }

  /** Returns when the last loss was and when all hosts were back. */
  private async runTrouble(): Promise<{lostAt: number; backAt: number}> {
    const {draws, group, trouble, names, founder} = this;
    const {clock} = group.getHost(founder);
    let lostAt = this.now;
    const absenceMs = draws.between(200, MAX_ABSENCE_MS);
    if (trouble === 'remove') {
      this.end(founder, name => group.removeHost(name));
      await this.wait(1_000);
      group.addHost('successor');
      this.runTask(this.start('successor'));
    } else if (trouble === 'cut') {
      group.isolated.add(founder);
      await this.wait(absenceMs);
      group.isolated.delete(founder);
    } else if (trouble === 'freeze') {
      clock.freeze();
      await this.wait(absenceMs);
      clock.resume();
    } else if (trouble === 'late') {
      await this.wait(absenceMs);
      this.runTask(this.start(founder));
    } else if (trouble === 'wipe') {
      this.end(founder, name => group.loseDisk(name));
      await this.wait(1_000);
      group.getHost(founder).bootstraps = false;
      this.runTask(this.start(founder));
    } else if (trouble === 'restart') {
      await this.restartEach(names);
      lostAt = this.now;
    } else if (trouble === 'remove-and-restart') {
      this.end(founder, name => group.removeHost(name));
      await this.restartEach(names.filter(name => name !== founder));
      group.addHost('successor');
      this.runTask(this.start('successor'));
      lostAt = this.now;
    } else {
      for (const name of names) this.end(name, each => group.crash(each));
      await this.wait(draws.between(10, 900));
      for (const name of names) this.startAgain(name);
      lostAt = this.now;
    }
    return {lostAt, backAt: this.now};
  }

  /** Crashes and restarts hosts one after the other. */
  private async restartEach(names: readonly string[]): Promise<void> {
    for (const name of names) {
      await this.wait(this.draws.between(0, 300));
      this.end(name, each => this.group.crash(each));
      await this.wait(this.draws.between(10, 500));
      this.startAgain(name);
    }
  }

  /** Loses one more host for good and returns how long commands wait. */
  private async runFurtherLoss(): Promise<number> {
    const {draws, group} = this;
    const names = [...group.hosts.keys()];
    const victim = names[draws.between(0, names.length - 1)] ?? '';
    this.trace(`${this.now} ${victim} is lost for good`);
    this.end(victim, name => group.removeHost(name));
    // A reply that was on its way when the host was lost is no new commit.
    await this.wait(100);
    return this.waitForCommit(this.now);
  }

  /** Checks that the leader has each command that was acknowledged. */
  private checkAcknowledged(): void {
    const [leader] = this.group.listLeaders();
    if (leader === undefined) return;
    const {recorder} = this.group.getHost(leader);
    const commands = new Set(recorder.commands);
    const lost = [...this.acknowledged].filter(each => !commands.has(each));
    if (lost.length === 0) return;
    this.group.violations.push(`${lost.length} acknowledged commands are lost`);
  }
}
