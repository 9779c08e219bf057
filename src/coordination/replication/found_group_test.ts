/**
 * Plays the ballots of founders that know of no group, over and over: whatever is
 * lost, all ballots that are won choose the same first voters.
 *
 * FOUNDER_SEEDS sets how many histories are played, from FOUNDER_FROM on.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import {createDraws, type Draws} from '../../protocol/seeded_draws.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {MemoryFileSystem} from '../../state/files/memory_file_system.ts';
import {foundGroup} from './found_group.ts';
import {Founder, NO_FOUNDER_REPLY} from './founder.ts';
import {formatMember} from './member.ts';
import {createUnresponsivePeer} from './member_fake.ts';

const SEEDS = Number(process.env['FOUNDER_SEEDS'] ?? 100);
const FIRST_SEED = Number(process.env['FOUNDER_FROM'] ?? 1);

const FOUNDERS = ['a', 'b', 'c'];
const HOSTS = [...FOUNDERS, 'd', 'e'].map(name => ({
  name,
  region: 'r',
  dataCentre: name,
}));

const PLAYED_MS = 20_000;
const STEP_MS = 20;

/** The chance of a loss in each step, of a loss being that of a disk. */
const LOSS_SHARE = 0.02;
const WIPE_SHARE = 0.3;
const MAX_ABSENCE_MS = 2_000;

/** What the network does to messages at most. */
const MAX_DROP = 0.3;
const MAX_DELAY_MS = 400;
const DUPLICATE = 0.1;

interface FounderHost {
  readonly name: string;
  readonly files: MemoryFileSystem;
  incarnation: string;
  founder: Founder | null;
  stopped: AbortController;
  isUp: boolean;
}

/** The founders of one history and the voters that they chose. */
class FounderHistory {
  readonly chosen: string[] = [];
  private readonly clock = new SimulatedClock();
  private readonly hosts = new Map<string, FounderHost>();
  private readonly drop: number;
  private readonly formedHost: string | null;
  private isWiped = false;
  private error: unknown = null;

  constructor(
    private readonly draws: Draws,
    {formedHost = null}: {formedHost?: string | null} = {},
  ) {
    this.drop = draws.next() * MAX_DROP;
    this.formedHost = formedHost;
  }

  async run(): Promise<void> {
    for (const {name} of HOSTS) {
      const files = new MemoryFileSystem();
      const stopped = new AbortController();
      const incarnation = `disk_${name}`;
      const host = {name, files, incarnation, founder: null, isUp: false};
      this.hosts.set(name, {...host, stopped});
      this.runTask(this.start(name, {founders: FOUNDERS}));
    }
    for (let passed = 0; passed < PLAYED_MS; passed += STEP_MS) {
      await this.clock.advance(STEP_MS);
      if (this.error) throw this.error;
      if (this.draws.next() < LOSS_SHARE) this.runTask(this.runLoss());
    }
    for (const {stopped} of this.hosts.values()) stopped.abort();
  }

  private runTask(task: Promise<unknown>): void {
    task.catch((error: unknown) => (this.error = error));
  }

  private getHost(name: string): FounderHost {
    const host = this.hosts.get(name);
    if (!host) throw new Error(`Could not find the host "${name}"`);
    return host;
  }

  private async runLoss(): Promise<void> {
    const {draws, clock} = this;
    const host = this.getHost(FOUNDERS[draws.between(0, 2)] ?? '');
    if (!host.isUp) return;
    host.isUp = false;
    host.stopped.abort();
    host.founder = null;
    host.files.crash(draws.next);
    const isWipe = !this.isWiped && draws.next() < WIPE_SHARE;
    if (isWipe) {
      this.isWiped = true;
      host.files.erase();
      host.incarnation = `new_disk_${host.name}`;
    }
    await clock.sleep(draws.between(10, MAX_ABSENCE_MS));
    await this.start(host.name, {founders: []});
  }

  /** Starts a host; a founder forms the group as if it knew of none. */
  private async start(
    name: string,
    {founders}: {founders: readonly string[]},
  ): Promise<void> {
    const host = this.getHost(name);
    const {incarnation, files} = host;
    const stopped = new AbortController();
    host.stopped = stopped;
    host.isUp = true;
    const founder = await Founder.open({
      group: 'group',
      name,
      founders,
      storage: {incarnation, snapshot: null, lastIndex: 0},
      files: files.connect(),
      path: '/data/founder',
      logger: silentLogger,
      ask: (to, request, timeoutMs) =>
        this.send(host, to, timeoutMs, async other => {
          const reply = await other.founder?.handle(structuredClone(request));
          return reply ?? NO_FOUNDER_REPLY;
        }),
    });
    host.founder = founder;
    if (founder) this.runTask(this.runFounder(host, founder));
  }

  private async runFounder(host: FounderHost, founder: Founder) {
    const {clock, draws} = this;
    const {signal} = host.stopped;
    while (!signal.aborted) {
      await foundGroup({
        group: 'group',
        self: {name: host.name, incarnation: host.incarnation},
        bootstrapHosts: [],
        founder,
        listHosts: () => HOSTS,
        voterCount: 5,
        clock,
        random: draws.next,
        logger: silentLogger,
        signal,
        getPeer: to => ({
          ...createUnresponsivePeer(),
          describeReplica: (_, timeoutMs) =>
            this.send(host, to, timeoutMs, async other => this.describe(other)),
          formGroup: async ({membership}) => {
            this.chosen.push(membership.voters.map(formatMember).join());
            return {...this.describe(this.getHost(to)), formed: true};
          },
        }),
        getMembership: () => null,
        getFormation: () => null,
        form: async membership => {
          this.chosen.push(membership.voters.map(formatMember).join());
        },
      });
      await clock.sleep(draws.between(0, MAX_ABSENCE_MS), signal);
    }
  }

  private describe({name, incarnation}: FounderHost) {
    return {incarnation, formed: name === this.formedHost};
  }

  private async send<T>(
    from: FounderHost,
    to: string,
    timeoutMs: number,
    handle: (host: FounderHost) => Promise<T>,
  ): Promise<T> {
    const {clock, draws} = this;
    const {stopped} = from;
    const never = () => new Promise<never>(() => {});
    const pass = async () => {
      const isLost = draws.next() < this.drop;
      await clock.sleep(draws.between(1, MAX_DELAY_MS));
      if (isLost) await never();
    };
    const deliver = async () => {
      await pass();
      const host = this.getHost(to);
      const {stopped: run} = host;
      if (!host.isUp) return never();
      // A founder that crashes while it writes does not answer.
      const reply = await handle(host).catch(never);
      await pass();
      return run.signal.aborted || stopped.signal.aborted ? never() : reply;
    };
    if (draws.next() < DUPLICATE) void deliver();
    const late = clock.sleep(timeoutMs).then(() => {
      throw new Error('Timed out');
    });
    return Promise.race([deliver(), late]);
  }
}

// Guards against two groups of the same founders.
test('all ballots of the founders choose the same voters', async () => {
  const wrong: string[] = [];
  let undecided = 0;
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    const history = new FounderHistory(createDraws(seed));
    await history.run();
    const different = [...new Set(history.chosen)];
    if (different.length === 0) undecided++;
    if (different.length <= 1) continue;
    wrong.push(`seed ${seed}: ${different.join(' and ')}`);
  }
  assert.deepEqual(wrong, []);
  assert.ok(undecided <= SEEDS / 10, `${undecided} chose none`);
});

// Guards against a second group beside one that was formed without these founders.
test('founders choose no voters while a host belongs to a group', async () => {
  const history = new FounderHistory(createDraws(1), {formedHost: 'd'});
  await history.run();
  assert.deepEqual(history.chosen, []);
});

test.run();
