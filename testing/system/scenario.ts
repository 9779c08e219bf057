/** A running system that records what the checkers need. */
import {setTimeout as sleep} from 'node:timers/promises';
import {checkEverything} from '../checkers/check_everything.ts';
import type {Shutdown} from '../checkers/check_answers.ts';
import type {InForceDeclaration} from '../checkers/check_configuration.ts';
import type {WorkCutoff} from '../checkers/check_runs.ts';
import {Caller} from '../callers/caller.ts';
import {Load, type LoadOptions} from '../callers/load.ts';
import type {CallRecord, ConfigurationRecord} from '../records/call_record.ts';
import {createDeclaration, listCustomers} from './declaration.ts';
import {
  CALLER,
  System,
  waitFor,
  type CommandResult,
  type HostStatus,
  type SystemOptions,
} from './system.ts';

/** The interval at which the configuration of each daemon is polled. */
const POLL_INTERVAL_MS = 100;

/** The time bills may take to replicate to the host that exports them. */
const BILLS_TIMEOUT_MS = 8_000;

/** The time a repair of all groups may take. */
const REPAIR_TIMEOUT_MS = 30_000;

/** The interval between declarations in `applyMany`. */
const APPLY_INTERVAL_MS = 20;

/** The number of words in an answer of the stand-in engines. */
export const ANSWER_WORDS = 20;

export interface ScenarioOptions extends SystemOptions {
  readonly customers?: number;
}

/** Runs a system and records requests, faults and configurations. */
export class Scenario implements AsyncDisposable {
  readonly calls: CallRecord[] = [];
  readonly withdrawals: WorkCutoff[] = [];
  readonly drains: WorkCutoff[] = [];
  readonly shutdowns: Shutdown[] = [];
  /** Times at which the test itself reset all callers' connections. */
  readonly callerResets: number[] = [];
  readonly inForce: InForceDeclaration[] = [];
  readonly configurations: ConfigurationRecord[] = [];
  readonly customers: ReadonlyArray<{name: string; apiKey: string}>;
  private isObserving = true;
  private readonly observer: Promise<void>;
  private version = 0;
  private hostInRepair: string | null = null;

  private constructor(
    readonly system: System,
    customers: number,
  ) {
    this.customers = listCustomers(customers);
    const observers = [...system.daemons.keys()].map(host =>
      this.observeConfiguration(host),
    );
    this.observer = Promise.all(observers).then(() => {});
  }

  /**
   * Starts a system and waits until a declaration is in force and every daemon
   * lists all endpoints.
   */
  static async start(options: ScenarioOptions): Promise<Scenario> {
    const system = await System.start(options);
    const scenario = new Scenario(system, options.customers ?? 3);
    try {
      await system.waitForAllHosts();
      await scenario.apply();
      await scenario.waitForEndpoints(options.endpoints.length);
    } catch (error) {
      await scenario[Symbol.asyncDispose]();
      throw error;
    }
    return scenario;
  }

  /** Applies the next declaration and records when it was in force. */
  async apply(
    changes: Record<string, unknown> = {},
    host?: string,
  ): Promise<number> {
    const version = ++this.version;
    const through = host ?? [...this.system.daemons.keys()][0] ?? '';
    const declaration = createDeclaration(version, this.customers);
    const result = await this.system.apply(through, {
      ...declaration,
      ...changes,
    });
    if (result.code !== 0) {
      throw new Error(
        `Could not apply the declaration: ${result.output}${result.errors}`,
      );
    }
    if (JSON.parse(result.output).inForce === true) {
      this.recordInForce();
    }
    return version;
  }

  /** Applies the next declaration; returns the command's result. */
  applyNext(host: string): Promise<CommandResult> {
    const declaration = createDeclaration(++this.version, this.customers);
    return this.system.apply(host, declaration);
  }

  /** Applies the latest version number once more, with `changes`. */
  applyAgain(
    changes: Record<string, unknown>,
    host: string,
  ): Promise<CommandResult> {
    const declaration = createDeclaration(this.version, this.customers);
    return this.system.apply(host, {...declaration, ...changes});
  }

  /** Applies a declaration with an outdated version number. */
  applyStale(version: number, host: string): Promise<CommandResult> {
    const declaration = createDeclaration(version, this.customers);
    return this.system.apply(host, declaration);
  }

  /**
   * Applies, through several hosts at once, declarations that share a version
   * number but differ in content.
   */
  applyConflicting(hosts: readonly string[]): Promise<CommandResult[]> {
    const version = ++this.version;
    return Promise.all(
      hosts.map((host, index) =>
        this.system.apply(host, {
          ...createDeclaration(version, this.customers),
          ledger: {retention_s: 3_600 + index},
        }),
      ),
    );
  }

  /**
   * Sends `count` declarations through the leader without waiting for replies.
   *
   * @returns How many were accepted.
   */
  async applyMany(count: number): Promise<number> {
    const host = await this.system.findLeader();
    const sent: Array<Promise<number>> = [];
    for (let index = 0; index < count; index++) {
      const declaration = createDeclaration(++this.version, this.customers);
      sent.push(this.system.applyDirectly(host, declaration));
      await sleep(APPLY_INTERVAL_MS);
    }
    await this.apply();
    const statuses = await Promise.all(sent);
    return statuses.filter(status => status === 200).length;
  }

  /**
   * Waits until every voter of every group runs with the incarnation that its
   * leader lists and has applied as much as the leader.
   */
  async waitForRepair(): Promise<void> {
    await waitFor(
      'the groups are repaired',
      async () => {
        const hosts = this.system.listDiskHosts();
        const statuses = await Promise.all(
          hosts.map(host => this.system.readStatus(host)),
        );
        return isRepaired(
          new Map(hosts.map((host, index) => [host, statuses[index]?.groups])),
        );
      },
      REPAIR_TIMEOUT_MS,
    );
    this.hostInRepair = null;
  }

  /** Withdraws a version and records when that was in force. */
  async withdraw(version: string, host: string): Promise<void> {
    const result = await this.system.runCommand(host, ['withdraw', version]);
    if (result.code !== 0 || JSON.parse(result.output).inForce !== true) {
      throw new Error(
        `Could not withdraw the version: ${result.output}${result.errors}`,
      );
    }
    this.withdrawals.push({name: version, atMs: Date.now()});
  }

  /** The version number of the last declaration that was sent. */
  get lastVersion(): number {
    return this.version;
  }

  /** Records that the last declaration is in force. */
  recordInForce(): void {
    this.inForce.push({version: this.version, atMs: Date.now()});
  }

  /** Begins the roll-out of a version that engines fail with status 500. */
  async startBadRollout(): Promise<void> {
    const {versions} = createDeclaration(this.version, this.customers);
    const [, stable] = versions;
    await this.apply({
      versions: [...versions, {...stable, name: 'next', completion_price: 20}],
      rollouts: [
        {
          model: 'draft',
          version: 'next',
          stable: 'large',
          stages: [0.1, 0.5, 1],
          stage_s: 5,
          stage_ratings: 0,
        },
      ],
    });
  }

  /** Starts a load whose calls are recorded here. */
  startLoad(seed: number, options: Partial<LoadOptions> = {}): Load {
    return new Load({
      customers: this.customers,
      seeds: this.system.listCallerAddresses(),
      seed,
      record: call => this.calls.push(call),
      service: 'booking/bookings',
      ...options,
    });
  }

  /** Creates a caller whose calls are recorded here. */
  createCaller(maxAttempts = 1): Caller {
    const [customer] = this.customers;
    if (!customer) throw new Error('Could not create a caller: no customer');
    return new Caller({
      customer: customer.name,
      apiKey: customer.apiKey,
      seeds: this.system.listCallerAddresses(),
      record: call => this.calls.push(call),
      maxAttempts,
    });
  }

  /** Resets all callers' connections and records the time. */
  resetCallerLinks(): void {
    this.callerResets.push(Date.now());
    this.system.proxy.reset(from => from === CALLER);
  }

  /** Kills a daemon and deletes its data; the repair begins on its start. */
  async loseDisk(host: string): Promise<void> {
    this.hostInRepair = host;
    await this.system.daemons.get(host)?.kill();
    await this.system.loseDisk(host);
  }

  /** The host whose data was deleted and is not yet restored, if any. */
  get unrepairedHost(): string | null {
    return this.hostInRepair;
  }

  /** Stops a daemon with SIGTERM and records the shutdown. */
  async stopDaemon(host: string): Promise<number | null> {
    const atMs = Date.now();
    const code = await this.system.daemons.get(host)?.stop();
    const gateway = this.system.getCallerAddress(host);
    this.shutdowns.push({gateway, atMs, endedAtMs: Date.now()});
    return code ?? null;
  }

  /** Waits until `count` more calls have been answered. */
  async waitForAnswers(count: number, timeoutMs?: number): Promise<void> {
    const from = this.calls.length;
    await waitFor(
      `${count} more requests are answered`,
      async () =>
        this.calls.slice(from).filter(call => call.outcome === 'answered')
          .length >= count,
      timeoutMs,
    );
  }

  /** Waits until every running daemon lists at least `count` endpoints. */
  async waitForEndpoints(count: number): Promise<void> {
    const running = [...this.system.daemons].filter(([, each]) => each.running);
    await waitFor('all endpoints are known', async () => {
      const known = await Promise.all(
        running.map(([host]) => this.system.readStatus(host)),
      );
      return known.every(each => each.endpoints.length >= count);
    });
  }

  /**
   * Runs all checkers until they find nothing or bills had time to replicate;
   * returns what they found last.
   */
  async check(billsHost: string): Promise<string[]> {
    const deadline = Date.now() + BILLS_TIMEOUT_MS;
    for (;;) {
      const bills = await this.system.readBills(billsHost);
      const found = checkEverything({
        ...this,
        runs: this.system.listRuns(),
        bills,
        words: ANSWER_WORDS,
        allowed: new Map(
          this.customers.map(each => [
            each.name,
            new Set(['draft/small', 'draft/large', 'draft/next', '']),
          ]),
        ),
      });
      if (found.length === 0 || Date.now() > deadline) return found;
      await sleep(POLL_INTERVAL_MS);
    }
  }

  /** Counts all calls so far by outcome. */
  countOutcomes(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const call of this.calls) {
      counts[call.outcome] = (counts[call.outcome] ?? 0) + 1;
    }
    return counts;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isObserving = false;
    await this.observer;
    await this.system[Symbol.asyncDispose]();
  }

  private async observeConfiguration(host: string): Promise<void> {
    while (this.isObserving) {
      const atMs = Date.now();
      const status = await this.system.readStatus(host).catch(() => null);
      if (status)
        this.configurations.push({host, atMs, version: status.version});
      await sleep(POLL_INTERVAL_MS);
    }
  }
}

type Groups = HostStatus['groups'] | undefined;

/** Whether each group's voters, as its leader lists them, are current. */
function isRepaired(hosts: ReadonlyMap<string, Groups>): boolean {
  const names = new Set(
    [...hosts.values()].flatMap(groups => groups?.map(each => each.group)),
  );
  return [...names].every(group => {
    const find = (host: string | null) =>
      hosts.get(host ?? '')?.find(each => each.group === group);
    const leader = find(
      [...hosts.keys()].find(host => find(host)?.leader === host) ?? null,
    );
    if (!leader?.membership || !leader.settled) return false;
    return leader.membership.voters.every(voter => {
      const member = find(voter.name);
      return (
        member?.incarnation === voter.incarnation &&
        member.applied >= leader.applied
      );
    });
  });
}
