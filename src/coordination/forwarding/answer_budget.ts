/**
 * Bounds what all answers of endpoints take of a gateway together.
 *
 * Each answer has a bound of its own; endpoints that send bytes without end take
 * the sum of many. An answer beyond its free part is read at a pace that all share, so
 * that its endpoint is held back first. The bytes that are kept, or that wait for the
 * pace, are part of the process's account of memory. Once they exceed their bound there,
 * the largest answer is ended.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import {
  MemoryAccount,
  type MemoryHolder,
} from '../memory_account/memory_account.ts';
import type {AttemptOutcome, EndpointAnswer} from './call.ts';
import {handleAbort} from './handle_abort.ts';

const KIB = 1024;
const MIB = 1024 * KIB;

/** What all answers may keep in memory by default, in bytes. */
const MAX_KEPT_BYTES = 8 * MIB;

/**
 * The part of an answer that is read without a wait: its first bytes, and more by the
 * second, as streams that last long have.
 */
const FREE_BYTES = 16 * KIB;
const FREE_BYTES_PER_S = 8 * KIB;

/** The pace of all answers beyond that, in bytes a second, and its burst. */
const SHARED_BYTES_PER_S = MIB;
const BURST_BYTES = 4 * MIB;

/** While a piece waits, its connection reads about as much ahead. */
const WAITING_FACTOR = 2;

const MS_PER_SECOND = 1_000;

/** An answer was ended by the gateway, which says nothing of a crash. */
export class EndedAnswerError extends Error {
  override readonly name = 'EndedAnswerError';
}

/** What one answer keeps in memory. */
export interface AnswerMemory {
  /**
   * Sets the bytes that are kept.
   *
   * @throws When the answer is ended, since it is the largest beyond the budget.
   */
  keep(bytes: number): void;
  /** Keeps nothing any more. */
  release(): void;
}

/** Memory without a bound. */
export const unboundedMemory: AnswerMemory = {
  keep: () => {},
  release: () => {},
};

export interface AnswerBudgetOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** The account of the process; by default one that bounds only the answers. */
  readonly account?: MemoryAccount;
  /** What all answers may keep without an `account`, in bytes; 8 MiB by default. */
  readonly maxKeptBytes?: number;
}

/** What an answer takes, in bytes. */
interface AnswerBytes {
  /** What its reader keeps. */
  kept: number;
  /** What waits for the pace. */
  waiting: number;
}

interface OpenAnswer extends AnswerBytes {
  readonly endpoint: string;
  readonly cancel: () => void;
  readonly memory: MemoryHolder;
  /** Aborts with an error when the answer, or its attempt, is ended. */
  readonly ended: AbortController;
}

/** The attempt that an answer belongs to. */
export interface AnsweredAttempt {
  /** The endpoint's id or address, for logs. */
  readonly endpoint: string;
  readonly signal: AbortSignal;
}

export class AnswerBudget {
  private readonly account: MemoryAccount;
  /** When the shared pace allows the next bytes, on the monotonic clock. */
  private paceAt = -Infinity;

  constructor(private readonly options: AnswerBudgetOptions) {
    const {clock, account, maxKeptBytes = MAX_KEPT_BYTES} = options;
    this.account =
      account ??
      new MemoryAccount({
        clock,
        budgetBytes: Infinity,
        kindBytes: {answer: maxKeptBytes},
      });
  }

  /** Bounds the answer of an attempt, if there is one. */
  admit(attempt: AnsweredAttempt, outcome: AttemptOutcome): AttemptOutcome {
    if (outcome.type !== 'answer') return outcome;
    return {...outcome, answer: this.track(attempt, outcome.answer)};
  }

  private track(
    attempt: AnsweredAttempt,
    answer: EndpointAnswer,
  ): EndpointAnswer {
    const open: OpenAnswer = {
      endpoint: attempt.endpoint,
      cancel: () => answer.cancel(),
      memory: this.account.open({
        kind: 'answer',
        // Its request has run.
        eviction: 'last',
        name: attempt.endpoint,
        evict: () => this.end(open),
      }),
      kept: 0,
      waiting: 0,
      ended: new AbortController(),
    };
    const release = () => this.release(open);
    return {
      ...answer,
      body: this.read(open, attempt, answer.body),
      cancel: () => {
        release();
        answer.cancel();
      },
      memory: {keep: kept => this.update(open, {kept}), release},
    };
  }

  /** Reads a body no faster than its share of the pace. */
  private async *read(
    open: OpenAnswer,
    attempt: AnsweredAttempt,
    body: AsyncIterable<Uint8Array>,
  ): AsyncGenerator<Uint8Array> {
    const {clock} = this.options;
    const {signal} = open.ended;
    const end = () =>
      open.ended.abort(new Error('Could not read an answer: it was aborted'));
    using _aborted = handleAbort(attempt.signal, end);
    if (attempt.signal.aborted) end();
    const startedAt = clock.monotonic();
    let size = 0;
    try {
      for await (const piece of body) {
        size += piece.length;
        const elapsedS = (clock.monotonic() - startedAt) / MS_PER_SECOND;
        const freeBytes = FREE_BYTES + elapsedS * FREE_BYTES_PER_S;
        if (size > freeBytes) {
          this.update(open, {waiting: piece.length * WAITING_FACTOR});
          await this.waitForPace(piece.length, signal);
          this.update(open, {waiting: 0});
        }
        signal.throwIfAborted();
        yield piece;
      }
    } catch (error) {
      signal.throwIfAborted();
      throw error;
    }
  }

  private async waitForPace(bytes: number, signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    const toMs = (each: number) => (each / SHARED_BYTES_PER_S) * MS_PER_SECOND;
    const now = clock.monotonic();
    this.paceAt = Math.max(this.paceAt, now - toMs(BURST_BYTES)) + toMs(bytes);
    if (this.paceAt > now) await clock.sleep(this.paceAt - now, signal);
    // What was not read delays no other answer.
    if (signal.aborted) this.paceAt -= toMs(bytes);
  }

  private update(
    open: OpenAnswer,
    {kept = open.kept, waiting = open.waiting}: Partial<AnswerBytes>,
  ): void {
    open.ended.signal.throwIfAborted();
    const isHeld = open.memory.set(kept + waiting);
    open.kept = kept;
    open.waiting = waiting;
    if (!isHeld) this.end(open);
    open.ended.signal.throwIfAborted();
  }

  private end(open: OpenAnswer): void {
    const {logger, metrics} = this.options;
    const bytes = open.kept + open.waiting;
    logger.warn('Ends an answer: all answers together are too large.', {
      endpoint: open.endpoint,
      bytes,
      // The account no longer counts it.
      keptBytes: this.account.countBytes('answer') + bytes,
      answers: this.account.countHolders('answer') + 1,
    });
    metrics.count('answers_ended', 1, {reason: 'memory'});
    this.release(open);
    open.ended.abort(
      new EndedAnswerError(
        'Could not read an answer: all answers together are too large',
      ),
    );
    open.cancel();
  }

  private release(open: OpenAnswer): void {
    open.memory.release();
    open.kept = 0;
    open.waiting = 0;
  }
}
