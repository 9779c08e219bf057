/**
 * Waits until all gateways obey a change before it is acknowledged.
 *
 * Each gateway confirms to the core daemon that it follows. The daemon that got
 * the change asks all others, and waits for each gateway that was in contact with
 * any of them a short time ago. A gateway that is not cannot hold up others: what
 * it may still do on its own is bounded by its view. At a bound the change, which
 * holds by then, is acknowledged with a log line.
 *
 * Changes that wait at the same time share the questions and what they show.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {
  ConfirmReply,
  ConfirmRequest,
} from '../../protocol/confirmation.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {ConfirmService} from './confirm_service.ts';
import {DaemonQuestions} from './daemon_questions.ts';
import {IN_USE_MS} from './follower_table.ts';
import {KnownGateways} from './known_gateways.ts';
import {WaitingChange, type HeardReply} from './waiting_change.ts';

/** The longest wait by default; endpoints and operators wait for a second. */
const CONFIRM_WITHIN_MS = 500;

/** The timeout of a question beyond the time for which it may be held. */
const ANSWER_TIMEOUT_MS = 300;

/** How long the calls of gateways are retained. */
const RETAIN_MS = 10_000;

/** Gateways that a log line names at most. */
const MAX_NAMED = 8;

export interface ConfirmerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Asks this daemon itself. */
  readonly confirm: ConfirmService;
  readonly self: string;
  /** Lists the addresses of the core daemons, this one included. */
  readonly listCores: () => readonly string[];
  /** Lists those of them that were silent for seconds. */
  readonly listSilent: () => readonly string[];
  /** Lists the gateways that any core daemon heard of within a time, in ms. */
  readonly listGateways: (withinMs: number) => readonly string[];
  /** Resolves to `null` at a daemon of an earlier version without the call. */
  readonly call: (
    address: string,
    request: ConfirmRequest,
    timeoutMs: number,
  ) => Promise<ConfirmReply | null>;
  /** Passes departures on to such a daemon, whose gateways cannot confirm. */
  readonly passOn: (
    address: string,
    departures: ConfirmRequest['departures'],
    timeoutMs: number,
  ) => Promise<unknown>;
}

export interface ConfirmedChange extends Omit<ConfirmRequest, 'waitMs'> {
  /** What it is, for logs and metrics. */
  readonly kind: 'configuration' | 'departure';
  /** Names the change in log lines. */
  readonly change: string;
  /** The longest wait, in ms; 500 by default. */
  readonly withinMs?: number;
}

export interface ConfirmOutcome {
  /** Whether a majority of the core daemons has the change. */
  readonly isHeld: boolean;
  /** The gateways in contact that have not confirmed it. */
  readonly behind: readonly string[];
}

interface OpenWait {
  readonly change: WaitingChange;
  readonly resolve: () => void;
}

export class Confirmer {
  /** The gateways, as far as questions showed them. */
  private readonly gateways = new KnownGateways();
  private readonly questions = new Map<string, DaemonQuestions>();
  private readonly waits = new Set<OpenWait>();

  constructor(private readonly options: ConfirmerOptions) {}

  /** Waits until all gateways have confirmed a change, up to a bound. */
  async waitUntilObeyed({
    kind,
    change,
    withinMs = CONFIRM_WITHIN_MS,
    ...what
  }: ConfirmedChange): Promise<ConfirmOutcome> {
    const {clock, listCores, listSilent} = this.options;
    const startedAt = clock.monotonic();
    const cores = listCores();
    const waiting = new WaitingChange(what, cores, listSilent());
    const obeyed = new AbortController();
    const wait = {
      change: waiting,
      resolve: () => obeyed.abort('obeyed'),
    };
    this.waits.add(wait);
    const questions = cores.map(address => this.findQuestions(address));
    for (const each of questions) each.add(waiting);
    await clock.sleep(withinMs, obeyed.signal);
    this.waits.delete(wait);
    for (const each of questions) each.remove(waiting);
    const outcome = {
      isHeld: waiting.isHeld,
      behind: this.listBehind(waiting, this.listInUse()),
    };
    this.prune();
    const ms = Math.round(clock.monotonic() - startedAt);
    this.record({kind, change, ms, ...outcome});
    return outcome;
  }

  private findQuestions(address: string): DaemonQuestions {
    const known = this.questions.get(address);
    if (known) return known;
    const {clock, logger, self, confirm, call, passOn} = this.options;
    const created = new DaemonQuestions({
      address,
      clock,
      send: request =>
        address === self
          ? confirm(request)
          : call(address, request, request.waitMs + ANSWER_TIMEOUT_MS),
      passOn: departures => passOn(address, departures, ANSWER_TIMEOUT_MS),
      onReply: reply => {
        this.recordCalls(reply);
        this.resolveObeyed();
      },
      onFailure: error => {
        if (error) {
          const {message: reason} = error;
          logger.debug('Could not ask for confirmations.', {address, reason});
        }
        this.resolveObeyed();
      },
    });
    this.questions.set(address, created);
    return created;
  }

  private recordCalls({calls}: HeardReply): void {
    for (const [address, call] of calls) this.gateways.record(address, call);
  }

  /** Ends the waits for changes that all gateways in contact have. */
  private resolveObeyed(): void {
    const inUse = this.listInUse();
    for (const {change, resolve} of this.waits) {
      if (!change.isHeld || !change.isHeard) continue;
      if (this.listBehind(change, inUse).length === 0) resolve();
    }
  }

  /** Lists the gateways that were in contact a short time ago. */
  private listInUse(): string[] {
    const oldest = this.options.clock.monotonic() - IN_USE_MS;
    const recent = this.options.listGateways(IN_USE_MS);
    return [...new Set([...recent, ...this.gateways.listAfter(oldest)])];
  }

  private listBehind(change: WaitingChange, inUse: readonly string[]) {
    return inUse.filter(
      address => !change.isConfirmedBy(this.gateways.find(address)),
    );
  }

  private prune(): void {
    this.gateways.prune(this.options.clock.monotonic() - RETAIN_MS);
    const cores = this.options.listCores();
    for (const [address, questions] of this.questions) {
      if (questions.isIdle && !cores.includes(address)) {
        this.questions.delete(address);
      }
    }
  }

  private record({
    kind,
    change,
    ms,
    isHeld,
    behind,
  }: ConfirmOutcome & Pick<ConfirmedChange, 'kind' | 'change'> & {ms: number}) {
    const {logger, metrics} = this.options;
    const isObeyed = isHeld && behind.length === 0;
    metrics.record('confirmation_ms', ms, {kind});
    metrics.count('confirmations', 1, {
      kind,
      outcome: isObeyed ? 'confirmed' : isHeld ? 'late' : 'not-held',
    });
    const fields = {kind, change, ms};
    if (isObeyed) logger.info('All gateways confirm a change.', fields);
    else {
      logger.warn('A change is not confirmed by all gateways.', {
        ...fields,
        isHeld,
        count: behind.length,
        behind: behind.slice(0, MAX_NAMED),
      });
    }
  }
}
