/** The network between the hosts of a simulated group, for tests. */
import type {Clock} from '../../protocol/clock.ts';
import type {
  FoundingReply,
  FoundingRequest,
  FoundingService,
} from '../../protocol/founding.ts';
import type {ReplicationService} from '../../protocol/replication.ts';
import type {FileLog} from '../../state/log/file_log.ts';
import {NO_FOUNDER_REPLY} from './founder.ts';
import type {ReplicaPeer} from './peer_replicator.ts';
import type {Replica} from './replica.ts';
import type {SimulatedHost} from './simulated_host.ts';

/** The bandwidth between two hosts: 20 Mb/s. */
const BYTES_PER_MS = 2_500;

/** The delay of a message whose packet is sent again. */
const RESEND_MIN_MS = 200;
const RESEND_RANDOM_MS = 300;

type Method = keyof ReplicationService | keyof FoundingService;

const METHODS: readonly Method[] = [
  'vote',
  'append',
  'installSnapshot',
  'describeReplica',
  'formGroup',
  'transferLeadership',
  'proposeFounding',
];

/** Faults of the network: probabilities of faults and delays. */
export interface NetworkFaults {
  drop: number;
  duplicate: number;
  /** The longest random delay of a message. */
  maxDelayMs: number;
  /** Probability that a packet of a message is sent again. */
  resend: number;
  /** The one-way delay between two regions. */
  regionDelayMs: number;
}

export interface SimulatedNetworkOptions {
  readonly clock: Clock;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  /** Returns `undefined` for a host that does not exist any more. */
  readonly findHost: (name: string) => SimulatedHost | undefined;
}

/** The process that sends, by its host and its open log. */
interface Sender {
  readonly from: SimulatedHost;
  readonly log: FileLog;
}

interface Message extends Sender {
  readonly to: string;
  readonly method: Method;
  readonly request: unknown;
}

/** A request or a reply, as sent. */
export interface ObservedMessage {
  readonly from: string;
  readonly to: string;
  readonly method: Method;
  readonly isReply: boolean;
  readonly content: unknown;
}

/** The calls from one host to another. */
export type SimulatedPeer = ReplicaPeer & {
  proposeFounding(
    request: FoundingRequest,
    timeoutMs: number,
  ): Promise<FoundingReply>;
};

/** Carries calls between replicas. */
export class SimulatedNetwork implements NetworkFaults {
  drop = 0;
  duplicate = 0;
  maxDelayMs = 4;
  resend = 0;
  regionDelayMs = 0;
  /** Hosts that can neither send nor receive. */
  readonly isolated = new Set<string>();
  /** Receives each request and reply, whether it is lost or not. */
  observe: ((message: ObservedMessage) => void) | null = null;
  /** Waits for the work of a message at one end; by default there is none. */
  work: ((host: SimulatedHost, content: unknown) => Promise<void>) | null =
    null;

  constructor(private readonly options: SimulatedNetworkOptions) {}

  /** Creates the calls from one process to a host. */
  createPeer(to: string, sender: Sender): SimulatedPeer {
    const call = (method: Method) => (request: never, timeoutMs: number) =>
      this.send({...sender, to, method, request}, timeoutMs);
    return Object.fromEntries(
      METHODS.map(name => [name, call(name)]),
    ) as unknown as SimulatedPeer;
  }

  private async send(message: Message, timeoutMs: number): Promise<unknown> {
    const answered = new AbortController();
    const deliver = this.deliver(message);
    const timeout = message.from.clock
      .sleep(timeoutMs, answered.signal)
      .then(() => {
        throw new Error('Timed out');
      });
    if (this.options.random() < this.duplicate) {
      void this.deliver(message).catch(() => {});
    }
    deliver.catch(() => {});
    timeout.catch(() => {});
    try {
      return await Promise.race([deliver, timeout]);
    } finally {
      answered.abort();
    }
  }

  private async deliver({from, to, ...message}: Message): Promise<unknown> {
    const {findHost} = this.options;
    const {method} = message;
    const request = structuredClone(message.request);
    const receiver = findHost(to);
    this.observe?.({
      from: from.name,
      to,
      method,
      isReply: false,
      content: request,
    });
    if (this.work) await this.work(from, request);
    await this.delayOrDrop(from, receiver, countBytes(request));
    if (receiver && this.work) await this.work(receiver, request);
    if (!receiver || from.storage !== message.log) return this.neverReply();
    await receiver.clock.waitUntilRunning();
    const {replica} = receiver;
    if (!replica || findHost(to) !== receiver) return this.neverReply();
    const reply =
      method === 'proposeFounding'
        ? await (receiver.founder?.handle(request as never) ?? NO_FOUNDER_REPLY)
        : await handleCall(replica, method, request);
    if (receiver.replica !== replica) return this.neverReply();
    this.observe?.({
      from: to,
      to: from.name,
      method,
      isReply: true,
      content: reply,
    });
    await this.delayOrDrop(receiver, from, 0);
    await from.clock.waitUntilRunning();
    return structuredClone(reply);
  }

  /** Delays a message, or never resolves if the message is dropped. */
  private async delayOrDrop(
    from: SimulatedHost,
    to: SimulatedHost | undefined,
    bytes: number,
  ): Promise<void> {
    const {clock, random} = this.options;
    const isLost = random() < this.drop;
    let delayMs = 1 + random() * this.maxDelayMs + bytes / BYTES_PER_MS;
    if (from.place.region !== to?.place.region) delayMs += this.regionDelayMs;
    if (this.resend > 0 && random() < this.resend) {
      delayMs += RESEND_MIN_MS + random() * RESEND_RANDOM_MS;
    }
    await clock.sleep(delayMs);
    const isCut =
      this.isolated.has(from.name) || (to && this.isolated.has(to.name));
    if (isLost || isCut || !from.replica) await this.neverReply();
  }

  private neverReply(): Promise<never> {
    return new Promise(() => {});
  }
}

/** Counts the bytes of a message that has many. */
function countBytes(request: unknown): number {
  const {data} = request as {data?: string};
  return data?.length ?? 0;
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
      return replica.handleDescribe();
    case 'formGroup':
      return replica.handleForm(request as never);
    case 'transferLeadership':
      return replica.handleTransfer(request as never);
  }
}
