/**
 * Engines of a simulated site: they read prompts, answer in batches, and crash.
 *
 * An engine crashes shortly after it begins an answer on a bad prompt part, and
 * at any time through {@linkcode SimulatedEngines.crash}. All answers that it
 * works on break off; it is back after some seconds as a new start.
 */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {AttemptOptions, AttemptOutcome, Call} from '../forwarding/call.ts';
import {createAnswer, createEndpoint} from '../forwarding/forwarding_fakes.ts';

/** Prefill of a prompt: a minimum and a random part, in ms. */
const READ_MIN_MS = 40;
const READ_RANDOM_MS = 260;

/** The time from the begin of an answer to a crash: at most this, in ms. */
const CRASH_WITHIN_MS = 100;

/** The duration of an answer: a minimum and a random part, in ms. */
const WRITE_MIN_MS = 100;
const WRITE_RANDOM_MS = 1_500;

/** The time until a crashed engine is back: a minimum and a random part, in ms. */
const BACK_MIN_MS = 2_000;
const BACK_RANDOM_MS = 2_000;

const EVENTS = 4;

export interface SimulatedEnginesOptions {
  readonly clock: SimulatedClock;
  /** Returns a number from 0 up to 1. */
  readonly draw: () => number;
  readonly count: number;
  /** Answers that an engine writes at once. */
  readonly batch: number;
  /** Parts of prompts that crash engines. */
  readonly badParts: ReadonlySet<string>;
}

interface Engine {
  entry: EndpointEntry;
  /** Aborts when the engine crashes. */
  life: AbortController;
  writing: number;
}

/** A crash that a bad part caused. */
export interface PartCrash {
  readonly part: string;
  readonly atMs: number;
}

export class SimulatedEngines {
  readonly crashes: PartCrash[] = [];
  private readonly engines: Engine[];

  constructor(private readonly options: SimulatedEnginesOptions) {
    this.engines = Array.from({length: options.count}, (_, index) => ({
      entry: createEndpoint(`e${index}`, {slots: options.batch}),
      life: new AbortController(),
      writing: 0,
    }));
  }

  /** The engines that run now. */
  listRunning(): EndpointEntry[] {
    return this.engines.filter(isRunning).map(({entry}) => entry);
  }

  /** Whether this start of an engine still runs. */
  isRunning(endpoint: EndpointEntry): boolean {
    return this.findEngine(endpoint) !== null;
  }

  /** Ends all answers of an engine; it is back after some seconds. */
  crash(index: number): void {
    const {clock, draw} = this.options;
    const engine = this.engines[index];
    if (!engine || !isRunning(engine)) return;
    engine.life.abort();
    engine.writing = 0;
    const backMs = BACK_MIN_MS + draw() * BACK_RANDOM_MS;
    void clock.sleep(backMs).then(() => {
      engine.entry = {...engine.entry, startedAtMs: clock.monotonic()};
      engine.life = new AbortController();
    });
  }

  /** Works on an attempt; resolves when its answer begins or it fails. */
  async answer(call: Call, options: AttemptOptions): Promise<AttemptOutcome> {
    const {clock, draw, batch} = this.options;
    const engine = this.findEngine(options.endpoint);
    if (!engine) return {type: 'not-sent', reason: 'ECONNREFUSED'};
    const index = this.engines.indexOf(engine);
    const {life} = engine;
    const signal = AbortSignal.any([life.signal, options.signal]);
    const hasEnded = () => signal.aborted;
    while (engine.writing >= batch && !hasEnded())
      await clock.sleep(10, signal);
    if (!hasEnded()) engine.writing++;
    await clock.sleep(READ_MIN_MS + draw() * READ_RANDOM_MS, signal);
    const bad = this.findBadPart(call);
    if (!hasEnded() && bad !== null) {
      const crashMs = draw() * CRASH_WITHIN_MS;
      void clock.sleep(crashMs, life.signal).then(() => {
        if (life.signal.aborted) return;
        this.crashes.push({part: bad, atMs: clock.monotonic()});
        this.crash(index);
      });
      // Some engines send the head of an answer with its first event only.
      if (draw() < 0.5) await clock.sleep(CRASH_WITHIN_MS + 1, signal);
    }
    if (hasEnded()) {
      this.release(engine, life);
      return options.signal.aborted
        ? {type: 'aborted'}
        : {type: 'broken', reason: 'other side closed'};
    }
    return this.createStream(call, options, {engine, life});
  }

  private createStream(
    call: Call,
    options: AttemptOptions,
    {engine, life}: {engine: Engine; life: AbortController},
  ): AttemptOutcome {
    const {clock, draw} = this.options;
    const writeMs = WRITE_MIN_MS + draw() * WRITE_RANDOM_MS;
    const signal = AbortSignal.any([life.signal, options.signal]);
    const release = () => this.release(engine, life);
    async function* writeEvents() {
      try {
        for (let id = 1; id <= EVENTS; id++) {
          await clock.sleep(writeMs / EVENTS, signal);
          if (signal.aborted) throw new Error('other side closed');
          yield Buffer.from(`id: ${id}\ndata: x\n\n`);
        }
      } finally {
        release();
      }
    }
    const outcome = createAnswer(call, options, {isStream: true});
    if (outcome.type !== 'answer') return outcome;
    return {...outcome, answer: {...outcome.answer, body: writeEvents()}};
  }

  private findEngine({id, startedAtMs}: EndpointEntry): Engine | null {
    const engine = this.engines.find(({entry}) => entry.id === id);
    const isCurrent = engine?.entry.startedAtMs === startedAtMs;
    return engine && isCurrent && isRunning(engine) ? engine : null;
  }

  private release(engine: Engine, life: AbortController): void {
    if (engine.life === life && engine.writing > 0) engine.writing--;
  }

  private findBadPart({facts}: Call): string | null {
    const {badParts} = this.options;
    const shared = facts.prompt.slice(0, -1);
    return shared.find(({id}) => badParts.has(id))?.id ?? null;
  }
}

function isRunning({life}: Engine): boolean {
  return !life.signal.aborted;
}
