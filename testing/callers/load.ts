/**
 * Generates a steady load of streamed and whole completions and of bookings
 * from several callers.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {CallRecord} from '../records/call_record.ts';
import {Caller, type CallerRequest} from './caller.ts';

export interface LoadOptions {
  /** Customers with their API keys. */
  readonly customers: ReadonlyArray<{name: string; apiKey: string}>;
  /** Where callers fetch the gateways' addresses; see `CallerOptions`. */
  readonly seeds: readonly string[];
  readonly seed: number;
  readonly record: (call: CallRecord) => void;
  /** Concurrent requests per customer. */
  readonly openPerCustomer?: number;
  /** The mean delay between a caller's requests. */
  readonly pauseMs?: number;
  /** The path of the booking service; if unset, no bookings are made. */
  readonly service?: string;
  /** The maximum number of attempts per request. */
  readonly maxAttempts?: number;
  /** The timeout for the headers of a reply; see `CallerOptions`. */
  readonly headersTimeoutMs?: number;
}

/** Requests per session before a new session begins. */
const REQUESTS_PER_SESSION = 5;

/** A running load. Disposing it waits for the open requests. */
export class Load implements AsyncDisposable {
  private stopped = false;
  private readonly tasks: Promise<void>[] = [];

  constructor(private readonly options: LoadOptions) {
    const {customers, openPerCustomer = 1} = options;
    customers.forEach((customer, index) => {
      for (let worker = 0; worker < openPerCustomer; worker++) {
        this.tasks.push(this.runWorker(customer, index * 1_000 + worker));
      }
    });
  }

  /** Stops sending requests and waits for the open ones. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped = true;
    await Promise.all(this.tasks);
  }

  private async runWorker(
    customer: {name: string; apiKey: string},
    worker: number,
  ): Promise<void> {
    const {
      seed,
      seeds,
      record,
      pauseMs = 20,
      maxAttempts = 6,
      headersTimeoutMs,
    } = this.options;
    const generator = xoroshiro128plus(seed * 1_000_003 + worker);
    const draw = () => uniformFloat64(generator);
    await using caller = new Caller({
      customer: customer.name,
      apiKey: customer.apiKey,
      seeds: [...seeds.slice(worker % seeds.length), ...seeds],
      record,
      maxAttempts,
      headersTimeoutMs,
    });
    for (let count = 0; !this.stopped; count++) {
      await caller.send(this.createRequest(draw(), `${seed}-${worker}`, count));
      await sleep(draw() * 2 * pauseMs);
    }
  }

  private createRequest(
    draw: number,
    workerId: string,
    count: number,
  ): CallerRequest {
    const key = `${workerId}-${count}`;
    const content = `question ${key}`;
    const {service} = this.options;
    if (service !== undefined && draw < 0.3) {
      return {key, content: JSON.stringify({door: key}), service};
    }
    const session = `${workerId}-${Math.floor(count / REQUESTS_PER_SESSION)}`;
    return {key, content, session, stream: draw < 0.8};
  }
}
