/**
 * The processor of a simulated daemon, which has a share of a core: work waits
 * for the work before it, and messages cost what they cost a real daemon.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {HostClock} from '../replication/simulated_host.ts';

/** What the work of daemons costs. */
export interface Prices {
  /** The share of a core of a core daemon and of a gateway. */
  readonly coreShare: number;
  readonly gatewayShare: number;
  /** The time of a core for a message, at its sender and at its receiver. */
  readonly messageMs: number;
  /** The same for each 1,024 bytes of it, to encode and to read and validate them. */
  readonly kilobyteMs: number;
  readonly readKilobyteMs: number;
}

/**
 * Half a call costs 0.2 to 0.6 ms at either end, on a machine with other load; a
 * core daemon and a gateway of the largest deployments have these shares.
 */
export const MEASURED_PRICES: Prices = {
  coreShare: 0.405,
  gatewayShare: 0.324,
  messageMs: 0.25,
  kilobyteMs: 0.015,
  readKilobyteMs: 0.1,
};

const BYTES_PER_KILOBYTE = 1_024;

export interface PricedProcessorOptions {
  readonly clock: Clock;
  /** The share of a core. */
  readonly share: number;
}

export class PricedProcessor {
  /** The time of a core that was used, in ms. */
  busyMs = 0;
  /** By how much other load slows this processor down. */
  slowdown = 1;
  private freeAt = 0;

  constructor(private readonly options: PricedProcessorOptions) {}

  /** How much work waits, in ms of the clock. */
  get backlogMs(): number {
    return Math.max(0, this.freeAt - this.options.clock.monotonic());
  }

  /** Resolves once work is done that takes some ms of a core. */
  async run(workMs: number): Promise<void> {
    const {clock, share} = this.options;
    this.busyMs += workMs;
    const startsAt = Math.max(clock.monotonic(), this.freeAt);
    this.freeAt = startsAt + (workMs * this.slowdown) / share;
    const {backlogMs} = this;
    if (backlogMs > 0) await clock.sleep(backlogMs);
  }
}

/** The processors of simulated daemons by their addresses. */
export class ProcessorPool {
  private readonly processors = new Map<string, PricedProcessor>();

  constructor(
    private readonly options: {
      readonly clock: Clock;
      /** By default no work costs anything. */
      readonly prices: Prices | undefined;
    },
  ) {}

  /** Adds the processor of a daemon, whose timers wait for its work. */
  add(
    address: string,
    clock: HostClock,
    kind: 'core' | 'gateway',
  ): PricedProcessor | undefined {
    const {prices} = this.options;
    if (!prices) return undefined;
    const processor = new PricedProcessor({
      clock: this.options.clock,
      share: kind === 'core' ? prices.coreShare : prices.gatewayShare,
    });
    clock.waitForProcessor = () => processor.run(0);
    this.processors.set(address, processor);
    return processor;
  }

  /** Finds the processor of a daemon; `undefined` where work costs nothing. */
  find(address: string): PricedProcessor | undefined {
    return this.processors.get(address);
  }

  /** Waits for the work of a message at one of its ends. */
  async handleMessage(address: string, content: unknown): Promise<void> {
    const {prices} = this.options;
    if (!prices) return;
    // Logs of the group are read without a schema for each entry.
    await this.find(address)?.run(computeMessageCost(prices, content).sendMs);
  }
}

/** What a message costs its sender and its receiver, in ms of a core. */
export interface MessageCost {
  readonly bytes: number;
  readonly sendMs: number;
  readonly receiveMs: number;
}

const FREE_MESSAGE: MessageCost = {bytes: 0, sendMs: 0, receiveMs: 0};

/** Computes what a message costs; nothing without prices. */
export function computeMessageCost(
  prices: Prices | undefined,
  content: unknown,
): MessageCost {
  if (!prices) return FREE_MESSAGE;
  const bytes =
    content === undefined ? 0 : (JSON.stringify(content)?.length ?? 0);
  const kilobytes = bytes / BYTES_PER_KILOBYTE;
  const {messageMs, kilobyteMs, readKilobyteMs} = prices;
  return {
    bytes,
    sendMs: messageMs + kilobytes * kilobyteMs,
    receiveMs: messageMs + kilobytes * readKilobyteMs,
  };
}
