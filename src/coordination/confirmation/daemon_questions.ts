/**
 * Asks one core daemon which of its followers have the changes that wait.
 *
 * A question covers all changes that wait at that moment, so that a herd of them
 * costs few questions. While some are held, or late, another one asks for the changes
 * that began to wait since.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {
  ConfirmReply,
  ConfirmRequest,
} from '../../protocol/confirmation.ts';
import {createNotifier, type Notifier} from '../notifier.ts';
import {isComplete} from './confirm_service.ts';
import {HeldDepartures} from './held_departures.ts';
import {
  readReply,
  type HeardReply,
  type WaitingChange,
} from './waiting_change.ts';

/** How long one question may be held. */
const HOLD_MS = 150;

/** How long changes that begin to wait together are gathered. */
const GATHER_MS = 5;

/** How many questions may be open at the same time: a late one holds up no other. */
const MAX_OPEN = 16;

/**
 * The delay before a daemon is asked again, and before one whose followers have
 * confirmed: only a gateway that moves to it makes a difference.
 */
const RETRY_DELAY_MS = 20;
const COMPLETE_DELAY_MS = 120;

export interface DaemonQuestionsOptions {
  readonly address: string;
  readonly clock: Clock;
  /** Resolves to `null` at a daemon of an earlier version without the call. */
  readonly send: (request: ConfirmRequest) => Promise<ConfirmReply | null>;
  /** Passes departures on to such a daemon, whose gateways cannot confirm. */
  readonly passOn: (
    departures: ConfirmRequest['departures'],
  ) => Promise<unknown>;
  /** Called with each reply, after the changes have recorded it. */
  readonly onReply: (reply: HeardReply) => void;
  /** Called when a question failed, or cannot be asked. */
  readonly onFailure: (error: Error | null) => void;
}

export class DaemonQuestions {
  private readonly waiting = new Set<WaitingChange>();
  private readonly unasked = new Set<WaitingChange>();
  private readonly added: Notifier;
  private readonly held = new HeldDepartures();
  private lanes = 0;
  /** Whether a lane waits for further changes before it asks. */
  private isGathering = false;
  private asked = 0;

  constructor(private readonly options: DaemonQuestionsOptions) {
    this.added = createNotifier(options.clock);
  }

  /** Whether nothing is asked, nor any change waits. */
  get isIdle(): boolean {
    return this.lanes === 0 && this.waiting.size === 0;
  }

  add(change: WaitingChange): void {
    this.waiting.add(change);
    this.unasked.add(change);
    this.added.notify();
    if (this.isGathering || this.lanes >= MAX_OPEN) return;
    void this.runLane(this.lanes === 0 ? GATHER_MS : RETRY_DELAY_MS);
  }

  remove(change: WaitingChange): void {
    this.waiting.delete(change);
    this.unasked.delete(change);
  }

  /** Asks until no change waits, or another lane goes on. */
  private async runLane(gatherMs: number): Promise<void> {
    this.lanes++;
    this.isGathering = true;
    await this.options.clock.sleep(gatherMs);
    this.isGathering = false;
    while (this.waiting.size > 0) {
      if (this.lanes > 1 && this.unasked.size === 0) break;
      const delayMs = await this.ask();
      if (this.lanes > 1) break;
      await this.added.wait(delayMs);
    }
    this.lanes--;
  }

  /** Asks once; returns the delay before the next question, in ms. */
  private async ask(): Promise<number> {
    const {address, clock, send, passOn, onReply, onFailure} = this.options;
    const changes = [...this.waiting];
    this.unasked.clear();
    const question = ++this.asked;
    const {configurationRevision, departures} = mergeChanges(changes);
    const asked = {configurationRevision, ...this.held.select(departures)};
    try {
      const reply = await send({...asked, waitMs: HOLD_MS});
      if (reply === null) {
        if (asked.required) {
          this.held.reset();
          return RETRY_DELAY_MS;
        }
        if (asked.departures.length > 0) await passOn(asked.departures);
        for (const change of changes) {
          if (change.what.departures.length > 0) change.recordPassedOn(address);
          else change.recordFailure(address);
        }
        onFailure(null);
        return COMPLETE_DELAY_MS;
      }
      if (!this.held.record(asked, reply)) return RETRY_DELAY_MS;
      const now = clock.monotonic();
      const heard = readReply(reply, {address, asked, now, question});
      for (const change of changes) change.recordReply(heard);
      onReply(heard);
      return isComplete(reply) ? COMPLETE_DELAY_MS : RETRY_DELAY_MS;
    } catch (error) {
      for (const change of changes) change.recordFailure(address);
      onFailure(error as Error);
      return RETRY_DELAY_MS;
    }
  }
}

/** Requires what all of the changes require. */
function mergeChanges(
  changes: readonly WaitingChange[],
): Omit<ConfirmRequest, 'waitMs'> {
  const departures = new Map(
    changes.flatMap(({what}) =>
      what.departures.map(each => [`${each.id} ${each.startedAtMs}`, each]),
    ),
  );
  return {
    configurationRevision: Math.max(
      0,
      ...changes.map(({what}) => what.configurationRevision),
    ),
    departures: [...departures.values()],
  };
}
