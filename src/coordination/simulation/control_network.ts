/** Carries calls between simulated daemons, over links that fail. */
import type {Clock} from '../../protocol/clock.ts';
import type {HostClock} from '../replication/simulated_host.ts';
import {
  computeMessageCost,
  type PricedProcessor,
  type Prices,
} from './priced_processor.ts';
import type {TrafficRecord} from './traffic_record.ts';

/** The one-way delays inside a region and between two, in ms. */
const REGION_MS = 2;
const FAR_MS = 30;

/** One run of a daemon. */
export interface SimulatedProcess {
  readonly address: string;
  readonly region: string;
  readonly clock: HostClock;
  /** Whether it has not been killed. */
  isAlive: boolean;
  /** How long its event loop lags behind, in ms. */
  lagMs: number;
  /** Absent where work costs nothing. */
  readonly processor?: PricedProcessor | undefined;
}

export interface ControlNetworkOptions {
  readonly clock: Clock;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** By default messages cost nothing. */
  readonly prices?: Prices | undefined;
  /** Counts the messages; by default nothing does. */
  readonly traffic?: TrafficRecord | undefined;
}

export interface ControlCall<P extends SimulatedProcess, T> {
  /** The name of the call, for the record of the traffic. */
  readonly name?: string;
  /** What it carries. */
  readonly request?: unknown;
  readonly from: SimulatedProcess;
  /** Finds the receiver; `undefined` while it is down. */
  readonly findReceiver: () => P | undefined;
  readonly serve: (receiver: P) => Promise<T>;
  readonly timeoutMs: number;
}

export class ControlNetwork {
  /** The share of messages that are lost. */
  lossShare = 0;
  /** When cut links work again, by the addresses of their ends. */
  private readonly cutUntil = new Map<string, number>();

  constructor(private readonly options: ControlNetworkOptions) {}

  /** Cuts the link between two daemons, in both directions. */
  cut(a: string, b: string, untilMs: number): void {
    const key = createKey(a, b);
    const known = this.cutUntil.get(key) ?? -Infinity;
    this.cutUntil.set(key, Math.max(known, untilMs));
  }

  isCut(a: string, b: string): boolean {
    const until = this.cutUntil.get(createKey(a, b)) ?? -Infinity;
    return this.options.clock.monotonic() < until;
  }

  /** Calls a daemon; rejects after the timeout. */
  async call<P extends SimulatedProcess, T>({
    from,
    timeoutMs,
    ...call
  }: ControlCall<P, T>): Promise<T> {
    const answered = new AbortController();
    const reply = this.deliver({from, ...call});
    const timeout = from.clock
      .sleep(timeoutMs, answered.signal)
      .then((): never => {
        throw new Error('timed out');
      });
    reply.catch(() => {});
    timeout.catch(() => {});
    try {
      return await Promise.race([reply, timeout]);
    } finally {
      answered.abort('answered');
    }
  }

  private async deliver<P extends SimulatedProcess, T>({
    name = 'other',
    request,
    from,
    findReceiver,
    serve,
  }: Omit<ControlCall<P, T>, 'timeoutMs'>): Promise<T> {
    const receiver = findReceiver();
    await this.pass(from, receiver, {name, content: request});
    if (!receiver || findReceiver() !== receiver) return neverReply();
    const reply = structuredClone(await serve(receiver));
    await this.pass(receiver, from, {name: `${name} reply`, content: reply});
    return reply;
  }

  /** Passes a message, or never resolves if it is lost. */
  private async pass(
    from: SimulatedProcess,
    to: SimulatedProcess | undefined,
    {name, content}: {readonly name: string; readonly content: unknown},
  ): Promise<void> {
    const {clock, random, prices, traffic} = this.options;
    await from.clock.waitUntilRunning();
    const {bytes, sendMs, receiveMs} = computeMessageCost(prices, content);
    traffic?.record({name, from: from.address, to: to?.address, bytes});
    if (sendMs > 0) await from.processor?.run(sendMs);
    const isLost = random() < this.lossShare;
    const isFar = from.region !== to?.region;
    await clock.sleep((isFar ? FAR_MS : REGION_MS) + random() * 2);
    if (!to || isLost || this.isCut(from.address, to.address)) {
      return neverReply();
    }
    await to.clock.waitUntilRunning();
    if (to.lagMs > 0) await clock.sleep(random() * to.lagMs);
    if (receiveMs > 0) await to.processor?.run(receiveMs);
    if (!from.isAlive || !to.isAlive) return neverReply();
  }
}

function createKey(a: string, b: string): string {
  return a < b ? `${a} ${b}` : `${b} ${a}`;
}

function neverReply(): Promise<never> {
  return new Promise(() => {});
}
