/** A simulated endpoint of streams that falls silent now and then. */
import type {AttemptOptions, AttemptOutcome, Call} from '../forwarding/call.ts';
import {
  createAnswer,
  PLAIN_ANSWER,
  waitForAbort,
} from '../forwarding/fake_answers.ts';
import type {SimulatedClock} from '../../protocol/simulated_clock.ts';

/** The interval between the events of a stream, in ms. */
export const EVENT_INTERVAL_MS = 40;

/** A time in which an endpoint sends nothing; `toMs` may be `Infinity`. */
export interface Silence {
  readonly fromMs: number;
  readonly toMs: number;
}

/** A time in which an endpoint refuses further requests. */
export interface Refusal extends Silence {
  readonly kind:
    /** It has no room. */
    | 'full'
    /** It has no room, and requests a back-off. */
    | 'back-off'
    /** Its connections are refused. */
    | 'unreachable'
    /** It does not serve the request. */
    | 'not-served';
}

/** The back-off that endpoints request, in ms. */
const BACK_OFF_MS = 700;

/** One attempt as its endpoint saw it. */
export interface SilentRun {
  readonly endpoint: string;
  readonly startedMs: number;
  /** When the gateway aborted it; `null` if it did not. */
  abortedMs: number | null;
  /** The last event that it has sent; 0 before the first. */
  lastEvent: number;
  /** Whether it has sent any event. */
  hasSpoken: boolean;
}

export interface SilentWorkerOptions {
  readonly id: string;
  readonly silences: readonly Silence[];
  readonly refusals: readonly Refusal[];
  /** The model's confidence in its answers; `null` without one. */
  readonly confidence: number | null;
  /** Returns the number of events of a request's answer. */
  readonly countEvents: (attemptId: string) => number;
  /** Returns how long it reads a request's prompt, in ms. */
  readonly getReadMs: (attemptId: string) => number;
  /** Records an attempt that was not refused. */
  readonly onRun: (attemptId: string, run: SilentRun) => void;
}

export class SilentWorker {
  constructor(private readonly options: SilentWorkerOptions) {}

  get id(): string {
    return this.options.id;
  }

  /** Returns when it speaks next at or after a time. */
  findSpeech(atMs: number): number {
    let speaksAt = atMs;
    for (const {fromMs, toMs} of this.options.silences) {
      if (speaksAt >= fromMs && speaksAt < toMs) speaksAt = toMs;
    }
    return speaksAt;
  }

  /** Whether it takes all requests. */
  get isOpen(): boolean {
    return this.options.refusals.length === 0;
  }

  /** Whether it is silent at any time of a span. */
  isSilentWithin(spanFromMs: number, spanMs: number): boolean {
    return this.options.silences.some(
      ({fromMs, toMs}) => fromMs < spanFromMs + spanMs && toMs > spanFromMs,
    );
  }

  /** Returns when it would send the last event of an answer, left alone. */
  computeEnd(atMs: number, eventsLeft: number): number {
    let endsAt = atMs;
    for (let left = eventsLeft; left > 0 && endsAt < Infinity; left--) {
      endsAt = this.findSpeech(endsAt + EVENT_INTERVAL_MS);
    }
    return endsAt;
  }

  /** Runs one attempt. */
  async run(
    call: Call,
    options: AttemptOptions,
    clock: SimulatedClock,
  ): Promise<AttemptOutcome> {
    if (this.findRefusal(clock) === 'unreachable') {
      return {type: 'not-sent', reason: 'ECONNREFUSED'};
    }
    if (!options.mayBegin()) return {type: 'withdrawn'};
    const {signal} = options;
    const refusal = this.findRefusal(clock);
    if (refusal !== null) {
      await this.waitForSpeech(clock, signal);
      return signal.aborted ? {type: 'aborted'} : refuse(refusal);
    }
    const attemptId = call.facts.attemptId ?? '';
    const first = Number(options.lastEventId ?? 0) + 1;
    const run: SilentRun = {
      endpoint: this.options.id,
      startedMs: clock.monotonic(),
      abortedMs: null,
      lastEvent: first - 1,
      hasSpoken: false,
    };
    this.options.onRun(attemptId, run);
    signal.addEventListener('abort', () => {
      run.abortedMs ??= clock.monotonic();
    });
    await this.waitForSpeech(clock, signal);
    const readMs = this.options.getReadMs(attemptId);
    if (readMs > 0) {
      await clock.sleep(readMs, signal);
      await this.waitForSpeech(clock, signal);
    }
    if (signal.aborted) return {type: 'aborted'};
    const answer = createAnswer(call, options, {
      isStream: true,
      facts: {confidence: this.options.confidence},
    });
    if (answer.type !== 'answer') return answer;
    const body = this.sendEvents(run, {attemptId, first, clock, signal});
    return {...answer, answer: {...answer.answer, body}};
  }

  private findRefusal(clock: SimulatedClock): Refusal['kind'] | null {
    const now = clock.monotonic();
    const refusal = this.options.refusals.find(
      ({fromMs, toMs}) => now >= fromMs && now < toMs,
    );
    return refusal?.kind ?? null;
  }

  private async *sendEvents(
    run: SilentRun,
    {
      attemptId,
      first,
      clock,
      signal,
    }: {
      attemptId: string;
      first: number;
      clock: SimulatedClock;
      signal: AbortSignal;
    },
  ): AsyncGenerator<Uint8Array> {
    const count = this.options.countEvents(attemptId);
    for (let event = first; event <= count; event++) {
      if (event > first) await clock.sleep(EVENT_INTERVAL_MS, signal);
      await this.waitForSpeech(clock, signal);
      if (signal.aborted) throw new Error('aborted');
      run.lastEvent = event;
      run.hasSpoken = true;
      yield Buffer.from(`id: ${event}\ndata: ${event} of ${count}\n\n`);
    }
  }

  private async waitForSpeech(
    clock: SimulatedClock,
    signal: AbortSignal,
  ): Promise<void> {
    for (;;) {
      const now = clock.monotonic();
      const speaksAt = this.findSpeech(now);
      if (speaksAt <= now || signal.aborted) return;
      if (speaksAt < Infinity) await clock.sleep(speaksAt - now, signal);
      else await waitForAbort(signal).catch(() => {});
    }
  }
}

function refuse(kind: Refusal['kind']): AttemptOutcome {
  return {
    type: 'not-run',
    status: kind === 'not-served' ? 421 : 503,
    facts: {
      ...PLAIN_ANSWER,
      isNotRun: true,
      quietMs: kind === 'back-off' ? BACK_OFF_MS : null,
    },
  };
}
