/**
 * A service under load without a network: gateways that share its endpoints and
 * tell each other of their open requests every 800 ms, and callers that leave at
 * their timeout.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {EndpointLoad} from '../../protocol/core_service.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Engine, Route, RouteCustomer} from '../../protocol/route_table.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {AttemptOptions, AttemptOutcome, Call} from '../forwarding/call.ts';
import {createAnswer, PLAIN_ANSWER} from '../forwarding/fake_answers.ts';
import {
  createEndpoint,
  createFollowReply,
  createRoute,
  FakeGateway,
  type FakeRequest,
} from '../forwarding/forwarding_fakes.ts';

/** How often gateways learn of the others' open requests, in ms. */
const EXCHANGE_MS = 800;

export interface OverloadedServiceOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly endpoints: number;
  readonly slots: number;
  /** Requests that wait at an endpoint before it refuses further ones. */
  readonly maxWaiting: number;
  /** Draws the work of a request, in ms, from a number from 0 up to 1. */
  readonly drawWorkMs: (call: Call, draw: number) => number;
  /** Whether an endpoint works on one request after the other, as an engine does. */
  readonly isSerial?: boolean;
  readonly route?: Partial<Route>;
  readonly engine?: Engine;
  readonly customers: readonly RouteCustomer[];
  readonly hasFairAdmission?: boolean;
  readonly metrics?: Metrics;
}

/** A kind of request that arrives at random times. */
export interface Stream {
  readonly name: string;
  readonly key: string;
  /** Requests per second, as a function of the time in ms. */
  readonly perSecond: (atMs: number) => number;
  readonly facts?: FakeRequest;
  /**
   * When a caller repeats a refused request: at the time that it was told, at
   * once, or never, which is the default.
   */
  readonly repeats?: 'told' | 'at-once';
}

/** What became of the requests of one stream. */
export interface StreamCounts {
  asked: number;
  served: number;
  late: number;
  refused: number;
  /** Callers that left at their timeout. */
  left: number;
  /** Callers, each counted once. */
  callers: number;
  /** Callers that were served in the end. */
  servedCallers: number;
}

interface SimulatedEndpoint {
  entry: EndpointEntry;
  running: number;
  readonly waiting: Array<() => void>;
  /** When a serial endpoint has done its work, on the clock. */
  freeAt: number;
  isGone: boolean;
}

export class OverloadedService {
  readonly clock = new SimulatedClock();
  readonly gateways: readonly FakeGateway[];
  /** `Retry-After` of all refusals, in ms. */
  readonly returns: Array<{readonly atMs: number; readonly afterMs: number}> =
    [];
  private readonly endpoints: readonly SimulatedEndpoint[];
  private readonly draw: () => number;
  private readonly route: Route;
  private readonly counts = new Map<string, StreamCounts>();
  /** The loads that gateways reported last, by their addresses. */
  private readonly loads = new Map<string, readonly EndpointLoad[]>();
  private running = 0;
  private runningMs = 0;
  private measuredAt = 0;
  private useSince = 0;

  constructor(private readonly options: OverloadedServiceOptions) {
    const generator = xoroshiro128plus(options.seed);
    this.draw = () => uniformFloat64(generator);
    const {engine, customers, hasFairAdmission = true, metrics} = options;
    this.route = createRoute({isPublic: false, ...options.route});
    this.endpoints = Array.from({length: options.endpoints}, (_, index) => ({
      entry: createEndpoint(`e${index}`, {slots: options.slots}),
      running: 0,
      waiting: [],
      freeAt: 0,
      isGone: false,
    }));
    const entries = this.endpoints.map(({entry}) => entry);
    this.gateways = Array.from(
      {length: options.gateways},
      (_, index) =>
        new FakeGateway({
          route: this.route,
          ...(engine && {engine}),
          ...(metrics && {metrics}),
          customers,
          endpoints: entries,
          behave: (call, attempt) => this.answer(call, attempt),
          random: this.draw,
          clock: this.clock,
          address: `g${index}`,
          hasFairAdmission,
          retryRatio: 0.2,
          retryExtra: 10,
        }),
    );
  }

  /** The share of the slots that were busy on average since the last call. */
  measureUse(): number {
    this.account();
    const {slots, endpoints} = this.options;
    const use =
      this.runningMs /
      (this.clock.monotonic() - this.useSince) /
      (slots * endpoints);
    this.runningMs = 0;
    this.useSince = this.clock.monotonic();
    return use;
  }

  /** Ends the first endpoints without notice. */
  end(count: number): void {
    for (const endpoint of this.endpoints.slice(0, count)) {
      endpoint.isGone = true;
    }
  }

  /** Counts since the last call, by stream. */
  takeCounts(): ReadonlyMap<string, StreamCounts> {
    const counts = new Map(
      [...this.counts].map(([name, each]) => [name, {...each}]),
    );
    for (const each of this.counts.values())
      Object.assign(each, createCounts());
    return counts;
  }

  /** Sends the requests of all streams for some time. */
  async run(streams: readonly Stream[], ms: number): Promise<void> {
    const endsAt = this.clock.monotonic() + ms;
    for (const stream of streams) void this.generate(stream, endsAt);
    for (const index of this.gateways.keys()) void this.exchange(index, endsAt);
    await this.clock.advance(ms);
  }

  private async generate(stream: Stream, endsAt: number): Promise<void> {
    const {clock} = this;
    for (;;) {
      const perSecond = stream.perSecond(clock.monotonic());
      const idleMs =
        perSecond > 0 ? (-Math.log(1 - this.draw()) / perSecond) * 1_000 : 50;
      if (clock.monotonic() + idleMs >= endsAt) return;
      await clock.sleep(idleMs);
      if (perSecond > 0) void this.call(stream);
    }
  }

  /** Plays one caller, who may repeat a refused request until its timeout. */
  private async call(stream: Stream): Promise<void> {
    const {clock} = this;
    const counts = this.getCounts(stream.name);
    const beganAt = clock.monotonic();
    counts.callers++;
    for (;;) {
      const leftMs = this.route.timeoutMs - (clock.monotonic() - beganAt);
      if (leftMs < 60) return;
      const index = Math.floor(this.draw() * this.gateways.length);
      const controller = new AbortController();
      const done = new AbortController();
      void clock.sleep(leftMs, done.signal).then(() => controller.abort());
      const sentAt = clock.monotonic();
      counts.asked++;
      const request = this.gateways[index]!.start(
        {key: stream.key, budgetMs: leftMs, ...stream.facts},
        controller.signal,
      );
      await request.done;
      done.abort();
      const {status, headers} = request.sink;
      if (status === 200) {
        counts.served++;
        counts.servedCallers++;
        const tookMs = clock.monotonic() - sentAt;
        if (tookMs > this.route.objectiveMs) counts.late++;
        return;
      }
      if (status === 0) {
        counts.left++;
        return;
      }
      counts.refused++;
      const header = headers.find(([name]) => name === 'Retry-After');
      const afterMs = Number(header?.[1] ?? 0) * 1_000;
      this.returns.push({atMs: clock.monotonic(), afterMs});
      if (!stream.repeats) return;
      await clock.sleep(stream.repeats === 'told' ? afterMs : 5);
    }
  }

  /** Lets one gateway report its load and learn that of the others. */
  private async exchange(index: number, endsAt: number): Promise<void> {
    const gateway = this.gateways[index]!;
    const address = `g${index}`;
    await this.clock.sleep(this.draw() * EXCHANGE_MS);
    while (this.clock.monotonic() < endsAt) {
      this.loads.set(address, gateway.createReport().loads);
      const others = new Map<string, number>();
      for (const [name, loads] of this.loads) {
        if (name === address) continue;
        for (const {id, open} of loads) {
          others.set(id, (others.get(id) ?? 0) + open);
        }
      }
      const loads = [...others].map(([id, open]) => ({id, open, readingMs: 0}));
      gateway.view.apply(createFollowReply({complete: false, loads}));
      await this.clock.sleep(EXCHANGE_MS);
    }
  }

  private async answer(
    call: Call,
    options: AttemptOptions,
  ): Promise<AttemptOutcome> {
    const endpoint = this.endpoints.find(
      ({entry}) => entry.id === options.endpoint.id,
    );
    const {clock} = this;
    await clock.sleep(1);
    if (!endpoint || endpoint.isGone) {
      return {type: 'not-sent', reason: 'ECONNREFUSED'};
    }
    const {slots, maxWaiting} = this.options;
    if (endpoint.running >= slots) {
      if (endpoint.waiting.length >= maxWaiting) {
        return {
          type: 'not-run',
          status: 503,
          facts: {...PLAIN_ANSWER, isNotRun: true, isSigned: false},
        };
      }
      await new Promise<void>(resolve => endpoint.waiting.push(resolve));
    }
    this.account();
    endpoint.running++;
    this.running++;
    if (!options.signal.aborted) {
      const workMs = this.options.drawWorkMs(call, this.draw());
      const beginsAt = Math.max(clock.monotonic(), endpoint.freeAt);
      if (this.options.isSerial) endpoint.freeAt = beginsAt + workMs;
      const queuedMs = this.options.isSerial ? beginsAt - clock.monotonic() : 0;
      await clock.sleep(queuedMs + workMs);
    }
    this.account();
    endpoint.running--;
    this.running--;
    endpoint.waiting.shift()?.();
    if (options.signal.aborted) return {type: 'aborted'};
    return createAnswer(call, options, {
      facts: {
        load: {
          running: endpoint.running,
          waiting: endpoint.waiting.length,
          slots,
        },
      },
    });
  }

  private account(): void {
    const now = this.clock.monotonic();
    this.runningMs += this.running * (now - this.measuredAt);
    this.measuredAt = now;
  }

  private getCounts(name: string): StreamCounts {
    const known = this.counts.get(name);
    if (known) return known;
    const counts = createCounts();
    this.counts.set(name, counts);
    return counts;
  }
}

function createCounts(): StreamCounts {
  return {
    asked: 0,
    served: 0,
    late: 0,
    refused: 0,
    left: 0,
    callers: 0,
    servedCallers: 0,
  };
}
