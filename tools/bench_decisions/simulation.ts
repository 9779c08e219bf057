/**
 * Simulates one run: gateways with their real decision components, and
 * simulated engines, ratings and network links.
 */
import {decideRollout} from '../../src/coordination/rollout/decide_rollout.ts';
import {EvidenceLedger} from '../../src/coordination/rollout/evidence_ledger.ts';
import type {Permit, Refusal} from '../../src/coordination/limits/permit.ts';
import type {Endpoint} from '../../src/coordination/membership/endpoint_table.ts';
import type {PlanStep} from '../../src/coordination/routing/completion_plan.ts';
import {formatClassBucket} from '../../src/coordination/quality/class_bucket.ts';
import {computeCost} from '../../src/coordination/routing/version_facts.ts';
import type {ControlView} from '../../src/protocol/control.ts';
import {formatVersion} from '../../src/protocol/declaration.ts';
import type {Outcome} from '../../src/protocol/outcome.ts';
import type {RolloutState} from '../../src/protocol/rollout_state.ts';
import {FakeEngine} from './fake_engine.ts';
import {DEADLINE_MS, SimulatedGateway} from './simulated_gateway.ts';
import type {Policy} from './policies.ts';
import type {RequestRecord} from './run_metrics.ts';
import {VirtualClock} from './virtual_clock.ts';
import {
  createRandom,
  createDeclaration,
  VERSIONS,
  type Profile,
  type WorkItem,
} from './workload.ts';

export interface SimulationOptions {
  readonly profile: Profile;
  readonly policy: Policy;
  readonly seed: number;
  readonly durationMs: number;
  readonly lagMs: number;
  /** Whether a roll-out of `next` in place of `middle` is declared. */
  readonly rollout?: {readonly share: number; readonly completed: boolean};
  readonly exposure?: 'direct' | 'gated';
}

/** Engines in the `draft` pool. */
const DRAFT_ENGINES = 6;
/** Engines in the pool of the other service, `filing`. */
const FILING_ENGINES = 3;
/** Requests that an engine runs concurrently. */
const SLOTS = 8;
/** Mean time of a rating. */
const RATING_MS = 400;
/** Share of ratings that are lost. */
const RATING_GAP_SHARE = 0.05;
/** Maximum error of a rating against the true quality. */
const RATING_NOISE = 0.08;
/** One-way latency: same data centre, same region, another region. */
const ONE_WAY_MS = [0, 1.5, 30] as const;
/** Bytes per prompt token on the wire. */
const BYTES_PER_TOKEN = 4;
/** Bytes per answer token on the wire. */
const BYTES_PER_CHUNK = 120;
/** Time between exchanges of ratings among gateways. */
const MERGE_INTERVAL_MS = 5_000;
/** Time between the leader's checks of a roll-out. */
const DECISION_INTERVAL_MS = 1_000;
/** Time until a withdrawal is in force at all gateways. */
const IN_FORCE_MS = 2_000;
/** Quality of the answers of a faulty version. */
const FAULTY_QUALITY = 0.3;
/** Maximum attempts for one request and version. */
const MAX_ATTEMPTS = 4;
/** Maximum concurrent requests of a customer at one gateway. */
const CUSTOMER_CONCURRENCY = 64;

/** An answer of a faulty version below this quality counts as exposure. */
const HARMLESS_QUALITY = 0.5;

/** The state of one run. */
export class Simulation {
  readonly clock = new VirtualClock();
  readonly engines: FakeEngine[] = [];
  readonly gateways: SimulatedGateway[];
  readonly records: RequestRecord[] = [];
  readonly faultyVersions = new Set<string>();
  isRatingDown = false;
  slowLinkBytes = 0;
  exposed = 0;
  withdrawnAt: number | null = null;
  private readonly random: () => number;
  private readonly pins = new Map<string, string>();
  private view: ControlView;

  constructor(readonly options: SimulationOptions) {
    const {profile, seed, rollout, exposure = 'direct'} = options;
    this.random = createRandom(seed + 1_000);
    const declaration = createDeclaration(profile);
    this.view = {
      revision: 1,
      declaration: {
        ...declaration,
        versions: declaration.versions.filter(
          each => rollout !== undefined || each.name !== 'next',
        ),
        customers: declaration.customers.map(each => ({...each, exposure})),
      },
      withdrawals: [],
      draining: [],
      rollouts: rollout ? [createRollout(rollout)] : [],
    };
    for (let index = 0; index < DRAFT_ENGINES + FILING_ENGINES; index++) {
      this.engines.push(new FakeEngine(SLOTS, this.clock));
    }
    this.gateways = profile.dataCentres.map((site, index) =>
      this.createGateway(site, index),
    );
  }

  get draftEngines(): FakeEngine[] {
    return this.engines.slice(0, DRAFT_ENGINES);
  }

  get filingEngines(): FakeEngine[] {
    return this.engines.slice(DRAFT_ENGINES);
  }

  /** Starts the background tasks: load reports, ratings and roll-outs. */
  start(): void {
    const {durationMs, lagMs} = this.options;
    this.engines.forEach((engine, index) => {
      const records = this.gateways.map(each => each.options.endpoints[index]!);
      void engine.report(records, lagMs, durationMs);
    });
    void this.mergeQuality();
    if (this.options.rollout) void this.watchRollout();
  }

  /**
   * Stops or restarts an engine. Gateways see the change in its endpoint
   * record after 3 s or 1 s.
   */
  setDown(engine: FakeEngine, isDown: boolean): void {
    engine.isDown = isDown;
    const index = this.engines.indexOf(engine);
    void this.clock.sleep(isDown ? 3_000 : 1_000).then(() => {
      for (const gateway of this.gateways) {
        gateway.options.endpoints[index]!.leaving = isDown;
      }
    });
  }

  /** Runs one request from its arrival to its record. */
  async runCompletion(item: WorkItem): Promise<void> {
    await this.clock.sleep(item.atMs);
    const gateway = this.gateways[item.gateway]!;
    const pinned = item.session ? this.findPin(item.session) : undefined;
    const plan = gateway.plan(item, pinned);
    const [first] = plan.steps;
    if (!first) return this.finish(item, 'refused', {cost: 0});
    if (item.session) this.pins.set(item.session, formatVersion(first.version));
    const acquired = await this.acquire(item, gateway, 'draft');
    if (!acquired.ok) return this.finish(item, 'refused', {cost: 0});
    using permit = acquired.value;
    let cost = 0;
    for (const step of plan.steps) {
      const run = await this.runStep(item, gateway, {step, permit});
      if (run.outcome !== 'answered') {
        return this.finish(item, run.outcome, {cost});
      }
      const usage = {
        promptTokens: item.promptTokens,
        completionTokens: item.answerTokens,
      };
      cost += computeCost(step.version, usage);
      const quality = this.drawQuality(item, step);
      const released = await this.decideRelease(item, gateway, {step, quality});
      if (!released) continue;
      const version = formatVersion(step.version);
      if (this.faultyVersions.has(version) && quality < HARMLESS_QUALITY)
        this.exposed++;
      const firstTokenMs = this.isStreamed(item) ? run.firstTokenMs : undefined;
      return this.finish(item, 'answered', {
        ...{cost, quality, version, firstTokenMs},
      });
    }
  }

  /** Runs one call to the other service. */
  async runServiceCall(item: WorkItem): Promise<void> {
    await this.clock.sleep(item.atMs);
    const gateway = this.gateways[item.gateway]!;
    const acquired = await this.acquire(item, gateway, 'filing');
    if (!acquired.ok) return;
    using permit = acquired.value;
    await this.runStep(item, gateway, {step: null, permit});
  }

  private createGateway(
    place: {readonly name: string; readonly region: string},
    index: number,
  ): SimulatedGateway {
    const {profile, policy} = this.options;
    const versions = this.view.declaration!.versions.map(formatVersion);
    const endpoints = this.engines.map((_, number): Endpoint => {
      const home = profile.dataCentres[number % profile.dataCentres.length]!;
      const filing = number >= DRAFT_ENGINES;
      return {
        ...{name: `e${number}`, incarnation: '1', address: ''},
        ...{region: home.region, dataCentre: home.name},
        pool: filing ? 'filing' : 'draft',
        versions: filing ? [] : versions,
        versionSlots: 0,
        ...{slots: SLOTS, checksFencing: false, resumes: true},
        ...{leaving: false, inFlight: 0, loadTakenAt: 0},
      };
    });
    return new SimulatedGateway({
      ...{name: `g${index}`, region: place.region, dataCentre: place.name},
      ...{clock: this.clock, random: this.random, endpoints, policy, profile},
      getView: () => this.view,
    });
  }

  private findPin(session: string): string | undefined {
    const pin = this.pins.get(session);
    return this.view.withdrawals.some(each => each.version === pin)
      ? undefined
      : pin;
  }

  private acquire(
    item: WorkItem,
    gateway: SimulatedGateway,
    pool: string,
  ): Promise<Outcome<Permit, Refusal>> {
    return gateway.limiter.acquire({
      customer: `c${item.customer}`,
      concurrency: CUSTOMER_CONCURRENCY,
      pool,
      deadlineMs: DEADLINE_MS / 2,
    });
  }

  /**
   * Runs a step and retries on other endpoints; a `null` step is a call to the
   * other service.
   */
  private async runStep(
    item: WorkItem,
    gateway: SimulatedGateway,
    {step, permit}: {step: PlanStep | null; permit: Permit},
  ): Promise<{
    outcome: RequestRecord['outcome'];
    firstTokenMs?: number;
  }> {
    const pool = step ? 'draft' : 'filing';
    const version = step ? formatVersion(step.version) : undefined;
    const avoided = new Set<string>();
    gateway.retries.deposit();
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0 && !gateway.retries.tryTake()) break;
      const bytes = item.promptTokens * BYTES_PER_TOKEN;
      const route = {pool, version, avoided, prompt: item.prompt, bytes};
      const choice = gateway.select(route);
      if (!choice) break;
      const {endpoint} = choice;
      using routed = gateway.router.begin(endpoint, route);
      const since = this.clock.monotonic();
      const oneWayMs = this.measureOneWayMs(item, gateway, endpoint);
      await this.clock.sleep(oneWayMs);
      let firstAt: number | undefined;
      const speed = VERSIONS[step?.version.name ?? 'small']!;
      const engine = this.engines[Number(endpoint.name.slice(1))]!;
      const result = await engine.run(item, speed, () => {
        firstAt = this.clock.monotonic() + oneWayMs;
        routed.recordFirstToken(firstAt - since);
        permit.recordFirstToken(firstAt - since);
      });
      await this.clock.sleep(oneWayMs);
      routed.recordEnd(result ? 'answered' : 'failed', result?.tokenGapMs);
      if (result && firstAt !== undefined) {
        return {outcome: 'answered', firstTokenMs: firstAt - item.atMs};
      }
      avoided.add(endpoint.name);
    }
    return {outcome: 'failed'};
  }

  /**
   * Returns the one-way latency to an endpoint and counts the bytes that cross
   * the slow link between regions.
   */
  private measureOneWayMs(
    item: WorkItem,
    {options}: SimulatedGateway,
    endpoint: Endpoint,
  ): number {
    if (endpoint.region !== options.region) {
      this.slowLinkBytes +=
        item.promptTokens * BYTES_PER_TOKEN +
        item.answerTokens * BYTES_PER_CHUNK;
      return ONE_WAY_MS[2];
    }
    return endpoint.dataCentre === options.dataCentre
      ? ONE_WAY_MS[0]
      : ONE_WAY_MS[1];
  }

  /**
   * Decides whether the answer goes to the caller. Held answers are rated
   * first; a sample of the others is rated afterwards.
   */
  private async decideRelease(
    item: WorkItem,
    gateway: SimulatedGateway,
    {step, quality}: {step: PlanStep; quality: number},
  ): Promise<boolean> {
    const version = formatVersion(step.version);
    const kind = this.options.profile.classes[item.classIndex]!;
    gateway.evidence.countRequest({version, failed: false, slow: false});
    if (step.release === 'rated') {
      const score = await this.rate(item, gateway, {version, quality});
      if (score === null) return step.whenUnrated === 'release';
      return score >= step.minimumScore;
    }
    const isWatched = this.view.rollouts.some(
      each => `${each.model}/${each.version}` === version,
    );
    const estimate = gateway.quality.estimate(step.version, kind.name);
    const {available} = gateway.rating.state;
    if (available && gateway.sampler.shouldRate(estimate, isWatched)) {
      void this.rate(item, gateway, {version, quality});
    }
    return true;
  }

  private async rate(
    item: WorkItem,
    gateway: SimulatedGateway,
    {version, quality}: {version: string; quality: number},
  ): Promise<number | null> {
    const isLost = this.isRatingDown || this.random() < RATING_GAP_SHARE;
    await this.clock.sleep(RATING_MS * (0.5 + this.random()));
    gateway.rating.record(!isLost, RATING_MS);
    if (isLost) return null;
    const noise = (this.random() - 0.5) * 2 * RATING_NOISE;
    const score = Math.min(1, Math.max(0, quality + noise));
    const kind = this.options.profile.classes[item.classIndex]!;
    gateway.quality.record({
      version,
      requestClass: formatClassBucket(kind.name, item.promptTokens),
      score,
    });
    gateway.evidence.countRating(version, score);
    return score;
  }

  private drawQuality(item: WorkItem, step: PlanStep): number {
    const noise = (this.random() - 0.5) * 0.08;
    if (this.faultyVersions.has(formatVersion(step.version)))
      return FAULTY_QUALITY + noise;
    const {name} = step.version;
    const kind = this.options.profile.classes[item.classIndex]!;
    const penalty =
      kind.difficultyPenalty[name === 'next' ? 'middle' : name] ?? 0;
    const baseQuality = VERSIONS[name]!.baseQuality;
    return Math.min(1, baseQuality - penalty * item.difficulty + noise);
  }

  private isStreamed({classIndex}: WorkItem): boolean {
    return this.options.profile.classes[classIndex]!.streamed;
  }

  private finish(
    item: WorkItem,
    outcome: RequestRecord['outcome'],
    rest: Pick<RequestRecord, 'cost' | 'quality' | 'version' | 'firstTokenMs'>,
  ): void {
    const kind = this.options.profile.classes[item.classIndex]!;
    const {customer, classIndex, atMs} = item;
    const {streamed} = kind;
    this.records.push({customer, classIndex, atMs, streamed, outcome, ...rest});
  }

  /** Merges each gateway's ratings into the others at intervals. */
  private async mergeQuality(): Promise<void> {
    while (this.clock.monotonic() < this.options.durationMs) {
      await this.clock.sleep(MERGE_INTERVAL_MS);
      for (const from of this.gateways) {
        const summary = structuredClone(from.quality.summarise());
        for (const to of this.gateways) {
          if (to !== from) to.quality.merge(from.options.name, summary);
        }
      }
    }
  }

  /** Checks the roll-out at intervals, as the control group's leader does. */
  private async watchRollout(): Promise<void> {
    const ledger = new EvidenceLedger(this.clock);
    const names = new Set(['draft/middle', 'draft/next']);
    while (this.clock.monotonic() < this.options.durationMs) {
      await this.clock.sleep(DECISION_INTERVAL_MS);
      for (const {evidence} of this.gateways) {
        ledger.record(structuredClone(evidence.createReport(names)));
      }
      const [state] = this.view.rollouts;
      if (!state) return;
      const decision = decideRollout({
        plan: PLAN,
        state,
        candidate: ledger.listWindows('draft/next'),
        stable: ledger.getTotal('draft/middle'),
        stableQuality: 0.83,
        nowMs: this.clock.now(),
      });
      if (decision.type !== 'withdraw') continue;
      await this.clock.sleep(IN_FORCE_MS);
      this.withdraw(decision.reason);
      return;
    }
  }

  private withdraw(reason: string): void {
    this.withdrawnAt = this.clock.monotonic();
    this.view = {
      ...this.view,
      withdrawals: [{version: 'draft/next', reason}],
      rollouts: this.view.rollouts.map(each => ({
        ...each,
        status: 'withdrawn',
      })),
    };
  }
}

/** The roll-out plan; its first stage is longer than any run. */
const PLAN = {
  ...{model: 'draft', version: 'next', stable: 'middle', stages: [0.05, 1]},
  ...{stage_s: 3_600, stage_ratings: 20, deadline_s: 36_000},
  tolerated_drop: 0.05,
};

function createRollout({
  share,
  completed,
}: {
  readonly share: number;
  readonly completed: boolean;
}): RolloutState {
  return {
    ...{model: 'draft', version: 'next', stable: 'middle', stage: 0, share},
    status: completed ? 'completed' : 'running',
    ...{stageSinceMs: 0, reason: ''},
  };
}
