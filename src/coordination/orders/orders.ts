/**
 * The orders of operators that are in progress at a core daemon.
 *
 * An order is committed and then obeyed by the gateways before it is
 * acknowledged. Identical orders share one progress. An order that is stored or
 * overtaken is not committed again, and nothing is proposed any more once all its
 * callers have left.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Configuration} from '../../protocol/core_service.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {ProposeReply} from '../../protocol/peer_service.ts';
import type {
  RoutingCommand,
  RoutingResult,
} from '../../protocol/routing_commands.ts';
import type {Confirmer} from '../confirmation/confirmer.ts';
import type {Notifier} from '../notifier.ts';
import {createOrderKey, findStored, isOvertaken} from './find_stored.ts';

/** The time to the answer of an order that is committed; operators wait for 1 s. */
const ANSWER_WITHIN_MS = 850;

/** How long gateways are waited for though the commit took most of that time. */
const MIN_CONFIRM_MS = 350;

/** The longest time between two checks whether an order is committed. */
const STORED_CHECK_MS = 1_000;

/** The result of an order. */
export type ChangeOutcome = 'accepted' | 'conflict' | 'unavailable';

export interface OrdersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /**
   * Commits a command, through the leader if it is another daemon; stops trying
   * when the signal aborts.
   */
  readonly propose: (
    command: RoutingCommand,
    signal?: AbortSignal,
  ) => Promise<ProposeReply>;
  /** Returns the configuration that is committed here. */
  readonly getConfiguration: () => Pick<Configuration, 'revision' | 'version'> &
    Partial<Configuration>;
  /** Notified when another configuration may be committed here. */
  readonly changes: Notifier;
  readonly confirmer: Pick<Confirmer, 'waitUntilObeyed'>;
}

interface Commit {
  readonly outcome: ChangeOutcome;
  /** Absent from leaders of earlier versions. */
  readonly revision?: number | undefined;
}

interface OpenOrder {
  readonly command: RoutingCommand;
  /** Names the order in log lines. */
  readonly change: string;
  readonly commit: Promise<Commit>;
  readonly outcome: Promise<ChangeOutcome>;
  /** Aborts when no caller waits any more. */
  readonly left: AbortController;
  callers: number;
  waiting: number;
}

export class Orders {
  private readonly open = new Map<string | symbol, OpenOrder>();

  constructor(private readonly options: OrdersOptions) {}

  /** Resolves once an order may be acknowledged, or cannot be. */
  async place(
    command: RoutingCommand,
    signal?: AbortSignal,
  ): Promise<ChangeOutcome> {
    const key = createOrderKey(command) ?? Symbol(command.type);
    const order = this.open.get(key) ?? this.begin(key, command);
    order.callers++;
    order.waiting++;
    const handleLeft = () => {
      order.waiting--;
      if (order.waiting > 0) return;
      this.remove(key, order);
      order.left.abort('left');
    };
    if (signal?.aborted) handleLeft();
    signal?.addEventListener('abort', handleLeft, {once: true});
    try {
      return await order.outcome;
    } finally {
      signal?.removeEventListener('abort', handleLeft);
    }
  }

  private begin(key: string | symbol, command: RoutingCommand): OpenOrder {
    const left = new AbortController();
    const startedAt = this.options.clock.monotonic();
    const commit = this.commit(command, left.signal);
    const order: OpenOrder = {
      command,
      change: describeChange(command),
      commit,
      outcome: commit.then(committed =>
        this.finish(order, {...committed, startedAt}),
      ),
      left,
      callers: 0,
      waiting: 0,
    };
    this.open.set(key, order);
    const remove = () => this.remove(key, order);
    order.outcome.then(remove, remove);
    return order;
  }

  private remove(key: string | symbol, order: OpenOrder): void {
    if (this.open.get(key) === order) this.open.delete(key);
  }

  /** Commits an order unless it, or one that overtakes it, is committed. */
  private async commit(
    command: RoutingCommand,
    left: AbortSignal,
  ): Promise<Commit> {
    const {getConfiguration, propose} = this.options;
    const findResult = () => findStored(getConfiguration(), command);
    const known = findResult();
    if (known) return createCommit(known);
    const overtaking = [...this.open.values()].find(other =>
      isOvertaken(command, other.command),
    );
    if (overtaking) {
      const commit = await overtaking.commit;
      if (commit.outcome === 'accepted') return commit;
    }
    const pursuit = new AbortController();
    const stop = () => pursuit.abort('over');
    left.addEventListener('abort', stop, {once: true});
    try {
      const stored = this.waitUntilStored(command, pursuit.signal);
      const proposal = propose(command, pursuit.signal);
      const reply = await Promise.race([stored, proposal]);
      if ('outcome' in reply) return reply;
      if (reply.type !== 'committed') return {outcome: 'unavailable'};
      return createCommit(reply.result as RoutingResult | undefined);
    } finally {
      stop();
      left.removeEventListener('abort', stop);
    }
  }

  /** Waits until another proposal has committed an order. */
  private async waitUntilStored(
    command: RoutingCommand,
    signal: AbortSignal,
  ): Promise<Commit> {
    const {getConfiguration, changes} = this.options;
    while (!signal.aborted) {
      await changes.wait(STORED_CHECK_MS);
      const result = findStored(getConfiguration(), command);
      if (result) return createCommit(result);
    }
    return {outcome: 'unavailable'};
  }

  /** Waits until gateways obey a committed order, but not for long. */
  private async finish(
    order: OpenOrder,
    {outcome, revision, startedAt}: Commit & {startedAt: number},
  ): Promise<ChangeOutcome> {
    const {clock, logger, confirmer} = this.options;
    const {command, change} = order;
    const committedAt = clock.monotonic();
    const deadline = Math.max(
      startedAt + ANSWER_WITHIN_MS,
      committedAt + MIN_CONFIRM_MS,
    );
    let behind: number | undefined;
    if (outcome === 'accepted') {
      const configurationRevision =
        revision ?? (await this.waitForRevision(command, deadline));
      const confirmed = await confirmer.waitUntilObeyed({
        kind: 'configuration',
        change,
        withinMs: deadline - clock.monotonic(),
        configurationRevision,
        departures: [],
      });
      behind = confirmed.behind.length;
    }
    logger.info('Answers an order.', {
      change,
      outcome,
      callers: order.callers,
      waiting: order.waiting,
      behind,
      commitMs: Math.round(committedAt - startedAt),
      ms: Math.round(clock.monotonic() - startedAt),
    });
    return outcome;
  }

  /** Returns the revision in force once this daemon has applied an order. */
  private async waitForRevision(
    command: RoutingCommand,
    deadline: number,
  ): Promise<number> {
    const {clock, changes, getConfiguration} = this.options;
    for (;;) {
      const leftMs = deadline - clock.monotonic();
      const isStored = findStored(getConfiguration(), command) !== null;
      if (isStored || leftMs <= 0) return getConfiguration().revision;
      await changes.wait(leftMs);
    }
  }
}

function createCommit(result: RoutingResult | undefined): Commit {
  if (result?.type === 'conflict') return {outcome: 'conflict'};
  return {outcome: 'accepted', revision: result?.revision};
}

function describeChange(command: RoutingCommand): string {
  switch (command.type) {
    case 'replace':
      return `version ${command.version}`;
    case 'begin_rollout':
      return `roll-out of ${command.service} to ${command.target}`;
    case 'set_drain':
      return `${command.isDrained ? 'drain' : 'end of the drain'} of ${command.dataCentre}`;
    default:
      return command.type;
  }
}
