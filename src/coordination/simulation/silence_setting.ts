/** Draws the settings of histories with silent endpoints. */
import {createDraws, type Draws} from '../../protocol/seeded_draws.ts';
import type {RecordingSink} from '../forwarding/recording_sink_fake.ts';
import {SilentWorker, type Refusal, type SilentRun} from './silent_worker.ts';

/** Separates the draws of the elements that only a part of the histories has. */
const EXTRAS_STREAM = 0x5bd1e995;

/** The share of histories that has any of these elements, and has each of them. */
const EXTRAS_SHARE = 0.5;
const ELEMENT_SHARE = 0.6;

const TOKENS_PER_READ_MS = 10;

export interface Stream {
  readonly id: string;
  readonly sentMs: number;
  readonly events: number;
  sink: RecordingSink | null;
  endedMs: number;
}

export interface Setting extends Extras {
  readonly workers: readonly SilentWorker[];
  readonly stopMs: number | null;
  readonly changesMs: readonly number[];
  readonly isBudgetEmpty: boolean;
  readonly hasModels: boolean;
  readonly maxAttempts: number;
}

/** A part with which endpoints ended, as is learned at a time. */
interface DrawnSuspect {
  readonly stream: string;
  readonly level: number;
  readonly atMs: number;
}

/** The elements that only a part of the histories has. */
interface Extras {
  /** When the settings are read anew. */
  readonly reloadsMs: readonly number[];
  /** When endpoints refuse requests, one after the other. */
  readonly refusals: readonly (readonly Refusal[])[];
  /** How long an endpoint reads the prompt of a stream, in ms. */
  readonly readMs: ReadonlyMap<string, number>;
  /** The suspected parts, each of one stream's prompt. */
  readonly suspects: readonly DrawnSuspect[];
  /**
   * Whether the first endpoint never speaks again once it falls silent: `alone`
   * if the others never fall silent, the gateway does not stop, and retries are
   * allowed.
   */
  readonly death: 'none' | 'alone' | 'beside silences';
}

export function drawStreams(draws: Draws): Stream[] {
  return Array.from({length: draws.between(1, 24)}, (_, index) => ({
    id: `s${index}`,
    sentMs: draws.between(0, 4_500),
    events: draws.between(15, 130),
    sink: null,
    endedMs: Infinity,
  }));
}

interface DrawSettingOptions {
  readonly seed: number;
  readonly streams: readonly Stream[];
  /** Receives the attempts of each stream. */
  readonly runs: Map<string, SilentRun[]>;
}

export function drawSetting(
  draws: Draws,
  {seed, runs, streams}: DrawSettingOptions,
): Setting {
  const count = draws.between(1, 6);
  const scope = draws.between(0, 2);
  const silent =
    scope === 0 ? 1 : scope === 1 ? count : draws.between(1, count);
  const fromMs = draws.between(800, 5_000);
  const isForever = scope !== 1 && draws.next() < 0.2;
  const ms = draws.log(200, 6_000);
  const apartMs = draws.next() < 0.5 ? 0 : draws.between(0, 800);
  const hasModels = draws.next() < 0.4;
  const confidence = hasModels ? draws.between(0, 100) : null;
  const extras = drawExtras(createDraws(seed ^ EXTRAS_STREAM), {
    streams,
    count,
  });
  const silentCount = extras.death === 'alone' ? 1 : silent;
  const lengths = new Map(streams.map(({id, events}) => [id, events]));
  const workers = Array.from({length: count}, (_, index) => {
    const startMs = fromMs + apartMs * index;
    const isDead = isForever || (extras.death !== 'none' && index === 0);
    const toMs = isDead ? Infinity : startMs + ms;
    return new SilentWorker({
      id: `e${index}`,
      silences: index < silentCount ? [{fromMs: startMs, toMs}] : [],
      refusals: extras.refusals[index] ?? [],
      confidence,
      countEvents: id => lengths.get(id) ?? 0,
      getReadMs: id => extras.readMs.get(id) ?? 0,
      onRun: (id, run) => runs.set(id, [...(runs.get(id) ?? []), run]),
    });
  });
  const setting = {
    ...extras,
    workers,
    stopMs: draws.next() < 0.6 ? draws.between(300, 5_000) : null,
    changesMs:
      draws.next() < 0.5
        ? []
        : [1, 2, 3].map(() => draws.between(500, 8_000)).sort((a, b) => a - b),
    isBudgetEmpty: draws.next() < 0.3,
    hasModels,
    maxAttempts: draws.between(1, 4),
  };
  if (extras.death !== 'alone') return setting;
  const maxAttempts = Math.max(2, setting.maxAttempts);
  return {...setting, stopMs: null, isBudgetEmpty: false, maxAttempts};
}

function drawExtras(
  draws: Draws,
  {streams, count}: {streams: readonly Stream[]; count: number},
): Extras {
  const hasAny = draws.next() < EXTRAS_SHARE;
  const has = () => draws.next() < ELEMENT_SHARE && hasAny;
  const hasReloads = has();
  const hasRefusals = has();
  const hasLongPrompts = has();
  const hasDeath = has();
  const isAlone = draws.next() < 0.5;
  const refusals = hasRefusals
    ? Array.from({length: count}, () => drawRefusals(draws))
    : [];
  const reloadsMs = hasReloads
    ? [1, 2, 3].map(() => draws.between(200, 8_000)).sort((a, b) => a - b)
    : [];
  const readMs = hasLongPrompts
    ? streams.map(({id}) => [id, Math.round(draws.log(20, 3_500))] as const)
    : [];
  return {
    death: !hasDeath ? 'none' : isAlone ? 'alone' : 'beside silences',
    reloadsMs,
    refusals,
    readMs: new Map(readMs),
    suspects: has() ? streams.map(each => drawSuspect(draws, each)) : [],
  };
}

function drawSuspect(draws: Draws, {id, sentMs}: Stream): DrawnSuspect {
  const isEarly = draws.next() < 0.5;
  const level = draws.between(1, 2);
  const delayMs = draws.between(500, 4_000);
  // A trial of a higher level that falls silent may be proven to end endpoints.
  return isEarly
    ? {stream: id, level: 1, atMs: sentMs}
    : {stream: id, level, atMs: sentMs + delayMs};
}

function drawRefusals(draws: Draws): Refusal[] {
  const fromMs = draws.between(0, 8_000);
  const kinds = ['full', 'back-off', 'unreachable', 'not-served'] as const;
  const refusal = {
    fromMs,
    toMs: fromMs + draws.log(100, 8_000),
    kind: kinds[draws.between(0, kinds.length - 1)] ?? 'full',
  };
  return draws.next() < 0.6 ? [refusal] : [];
}

/** The tokens of a stream's prompt. */
export function countPromptTokens({readMs}: Setting, id: string): number {
  return Math.round((readMs.get(id) ?? 0) * TOKENS_PER_READ_MS);
}

export function describeSetting(setting: Setting): string {
  const {workers, stopMs, isBudgetEmpty, hasModels, maxAttempts} = setting;
  const {reloadsMs, refusals, readMs, suspects, death} = setting;
  return (
    `${workers.length} endpoints, ${maxAttempts} attempts, ` +
    `stop ${stopMs ?? 'none'}, budget ${isBudgetEmpty ? 'empty' : 'full'}, ` +
    `${hasModels ? 'two models' : 'one model'}` +
    (reloadsMs.length > 0 ? ', reloads' : '') +
    (refusals.length > 0 ? ', refusals' : '') +
    (readMs.size > 0 ? ', long prompts' : '') +
    (suspects.length > 0 ? ', suspects' : '') +
    (death === 'none' ? '' : `, death ${death}`)
  );
}
