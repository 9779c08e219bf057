/**
 * Endpoints of a simulated site that crash: engines that read prompts and write
 * streams, or plain services that answer calls.
 *
 * An endpoint crashes shortly after it begins a bad request, or an answer on a
 * bad prompt part, and at any time through {@linkcode SimulatedEngines.crash}.
 * All answers that it works on break off; it is back after some seconds as a new
 * start, possibly at another address.
 */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {AttemptOptions, AttemptOutcome, Call} from '../forwarding/call.ts';
import {createAnswer} from '../forwarding/fake_answers.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import type {SiteEngines} from './simulated_site_types.ts';

/** Prefill of a prompt: a minimum and a random part, in ms. */
const READ_MIN_MS = 40;
const READ_RANDOM_MS = 260;

/** The time from the begin of an answer to a crash: at most this, in ms. */
const CRASH_WITHIN_MS = 100;

/** The duration of a streamed answer: a minimum and a random part, in ms. */
const WRITE_MIN_MS = 100;
const WRITE_RANDOM_MS = 1_500;

/** The work of a call: a minimum and a random part, in ms. */
const WORK_MIN_MS = 40;
const WORK_RANDOM_MS = 120;

/** The time until a crashed engine is back: a minimum and a random part, in ms. */
const BACK_MIN_MS = 2_000;
const BACK_RANDOM_MS = 2_000;

/** The time that an endpoint drains before a planned end, in ms. */
const DRAIN_MS = 3_000;

const EVENTS = 4;

export interface SimulatedEnginesOptions extends SiteEngines {
  readonly clock: SimulatedClock;
  /** Returns a number from 0 up to 1. */
  readonly draw: () => number;
  readonly count: number;
}

interface Engine {
  entry: EndpointEntry;
  /** Aborts when the engine crashes. */
  life: AbortController;
  writing: number;
  /** When it goes on after a freeze, on the simulated clock. */
  frozenUntil: number;
  starts: number;
}

/** A crash that a bad request or prompt part caused. */
export interface CausedCrash {
  /** The part, or the body of the request. */
  readonly cause: string;
  readonly atMs: number;
}

export class SimulatedEngines {
  readonly crashes: CausedCrash[] = [];
  private readonly engines: Engine[];

  constructor(private readonly options: SimulatedEnginesOptions) {
    this.engines = Array.from({length: options.count}, (_, index) => ({
      entry: createEndpoint(`e${index}`, {slots: options.batch}),
      life: new AbortController(),
      writing: 0,
      frozenUntil: -Infinity,
      starts: 1,
    }));
  }

  /** The engines that run now. */
  listRunning(): EndpointEntry[] {
    return this.engines.filter(isRunning).map(({entry}) => entry);
  }

  /** The engines that send heartbeats now. */
  listReporting(): EndpointEntry[] {
    const now = this.options.clock.monotonic();
    return this.engines
      .filter(each => isRunning(each) && each.frozenUntil <= now)
      .map(({entry}) => entry);
  }

  /** Whether any start of an engine runs at the address. */
  isListening(endpoint: Pick<EndpointEntry, 'address'>): boolean {
    return this.findListening(endpoint) !== null;
  }

  /** Ends all answers of an engine; it is back after some seconds. */
  crash(index: number): void {
    const {clock, draw, movesAddress = false} = this.options;
    const engine = this.engines[index];
    if (!engine || !isRunning(engine)) return;
    engine.life.abort();
    engine.writing = 0;
    const backMs = BACK_MIN_MS + draw() * BACK_RANDOM_MS;
    void clock.sleep(backMs).then(() => {
      const startedAtMs = clock.monotonic();
      engine.entry = movesAddress
        ? createEndpoint(`e${index}.${engine.starts++}`, {
            slots: this.options.batch,
            startedAtMs,
          })
        : {...engine.entry, startedAtMs, state: 'ready'};
      engine.life = new AbortController();
    });
  }

  /** Lets an engine stand still for a while; its connections stay open. */
  freeze(index: number, forMs: number): void {
    const engine = this.engines[index];
    if (!engine) return;
    engine.frozenUntil = this.options.clock.monotonic() + forMs;
  }

  /** Drains an engine, then ends it; it is back after some seconds. */
  endPlanned(index: number): void {
    const {clock} = this.options;
    const engine = this.engines[index];
    if (!engine || !isRunning(engine)) return;
    const {life} = engine;
    engine.entry = {...engine.entry, state: 'draining'};
    void clock.sleep(DRAIN_MS, life.signal).then(() => {
      if (!life.signal.aborted) this.crash(index);
    });
  }

  /** Works on an attempt; resolves when its answer begins or it fails. */
  async answer(call: Call, options: AttemptOptions): Promise<AttemptOutcome> {
    const {clock, draw, batch, answersCalls = false} = this.options;
    const engine = this.findListening(options.endpoint);
    if (!engine) return {type: 'not-sent', reason: 'ECONNREFUSED'};
    const index = this.engines.indexOf(engine);
    const {life} = engine;
    const signal = AbortSignal.any([life.signal, options.signal]);
    const hasEnded = () => signal.aborted;
    while (engine.writing >= batch && !hasEnded())
      await clock.sleep(10, signal);
    if (!hasEnded()) engine.writing++;
    if (!answersCalls) {
      await clock.sleep(READ_MIN_MS + draw() * READ_RANDOM_MS, signal);
    }
    await this.waitForThaw(engine, signal);
    const cause = this.findCause(call);
    if (!hasEnded() && cause !== null) {
      const crashMs = draw() * CRASH_WITHIN_MS;
      void clock.sleep(crashMs, life.signal).then(() => {
        if (life.signal.aborted) return;
        this.crashes.push({cause, atMs: clock.monotonic()});
        this.crash(index);
      });
      // Some engines send the head of an answer with its first event only.
      if (answersCalls || draw() < 0.5)
        await clock.sleep(CRASH_WITHIN_MS + 1, signal);
    } else if (answersCalls) {
      await clock.sleep(WORK_MIN_MS + draw() * WORK_RANDOM_MS, signal);
      await this.waitForThaw(engine, signal);
    }
    if (hasEnded()) {
      this.release(engine, life);
      return options.signal.aborted
        ? {type: 'aborted'}
        : {type: 'broken', reason: 'other side closed'};
    }
    if (answersCalls) {
      this.release(engine, life);
      return createAnswer(call, options);
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
    const waitForThaw = () => this.waitForThaw(engine, signal);
    async function* writeEvents() {
      try {
        for (let id = 1; id <= EVENTS; id++) {
          await clock.sleep(writeMs / EVENTS, signal);
          await waitForThaw();
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

  private async waitForThaw(
    engine: Engine,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this.options;
    const leftMs = engine.frozenUntil - clock.monotonic();
    if (leftMs > 0) await clock.sleep(leftMs, signal);
  }

  /** Finds what runs at an address, also a start that was not reported yet. */
  private findListening({
    address,
  }: Pick<EndpointEntry, 'address'>): Engine | null {
    const engine = this.engines.find(({entry}) => entry.address === address);
    return engine && isRunning(engine) ? engine : null;
  }

  private release(engine: Engine, life: AbortController): void {
    if (engine.life === life && engine.writing > 0) engine.writing--;
  }

  /** Finds what of a request crashes the engine; `null` if nothing does. */
  private findCause({facts, body}: Call): string | null {
    const {badParts = new Set(), badBodies = new Set()} = this.options;
    const text = body.toString();
    if (badBodies.has(text)) return text;
    const shared = facts.prompt.slice(0, -1);
    return shared.find(({id}) => badParts.has(id))?.id ?? null;
  }
}

function isRunning({life}: Engine): boolean {
  return !life.signal.aborted;
}
