/** Plays a seeded history of a site whose engines a prompt part crashes. */
import {createDraws, type Draws} from '../../protocol/seeded_draws.ts';
import type {PromptPart} from '../forwarding/call.ts';
import {createRoute, type FakeRequest} from '../forwarding/forwarding_fakes.ts';
import {runDisturbance, runFlaps} from './disturbances.ts';
import {SimulatedSite} from './simulated_site.ts';

/** The time in which a fact must reach gateways in touch, in ms. */
const CONTACT_MS = 4_000;

/** When requests with bad parts come, in ms. */
const BAD_FROM_MS = 3_000;
const BAD_UNTIL_MS = 24_000;

/** Steps between two disturbances, in ms. */
const PAUSE_MIN_MS = 200;
const PAUSE_RANDOM_MS = 1_200;

/** First parts, each shared by the requests of one caller. */
const FIRST_PARTS = 3;

/** Other parts that requests share. */
const SHARED_PARTS = 20;

/** The share of requests with a part that no request had before. */
const NEW_PART_SHARE = 0.2;

/** Crashes of a part after which it is counted. */
const COUNTED_CRASHES = 5;

/** What happens beside the requests with bad parts. */
export interface HistoryOptions {
  readonly seed: number;
  /** Whether bad parts come at all; true by default. */
  readonly hasBadParts?: boolean;
  /** Whether only what the parts do happens; drawn by default. */
  readonly isCalm?: boolean;
  /** Requests with a bad part per second at most; 20 by default. */
  readonly maxBadPerSecond?: number;
  /** Engines that end by chance in a second; none by default. */
  readonly flapsPerSecond?: number;
}

/** What a history showed. */
export interface HistoryFigures {
  readonly seed: number;
  readonly setting: string;
  /** Engines that bad parts ended, by part. */
  readonly crashes: readonly number[];
  /** Requests with a bad part that came too late, by part. */
  readonly late: readonly number[];
  /** How often sound requests that share the caller began, beside before. */
  readonly soundRatio: number | null;
  /** Parts that gateways withhold though they crash nothing. */
  readonly condemnedSound: number;
}

/** What one history is played with. */
interface Setting {
  readonly gateways: number;
  readonly cores: number;
  readonly endpoints: number;
  readonly batch: number;
  /** The parts of a prompt. */
  readonly partCount: number;
  /** Whether a bad part comes first in its prompt. */
  readonly isFirst: boolean;
  /** Requests per second with each bad part. */
  readonly badPerSecond: number;
  readonly badParts: readonly string[];
  readonly isCalm: boolean;
  readonly lossShare: number;
  readonly soundPerSecond: number;
}

/** Plays a history and returns its figures. */
export async function playHistory(
  options: HistoryOptions,
): Promise<HistoryFigures> {
  const {seed, flapsPerSecond = 0} = options;
  const draws = createDraws(seed);
  const setting = drawSetting(draws, options);
  const {badParts, isCalm} = setting;
  const site = createSite(seed, setting);
  const runSpan = createLoad(site, setting, draws);
  const disturbedUntilMs =
    BAD_FROM_MS + draws.next() * (BAD_UNTIL_MS - BAD_FROM_MS);
  const condemned = new Set<string>();
  await runSpan(BAD_FROM_MS, false);
  while (site.clock.monotonic() < BAD_UNTIL_MS) {
    const pauseMs = PAUSE_MIN_MS + draws.next() * PAUSE_RANDOM_MS;
    await runSpan(pauseMs, true);
    runFlaps(site, setting, {draws, flaps: (pauseMs / 1_000) * flapsPerSecond});
    for (const part of site.listCondemned()) condemned.add(part);
    const isDisturbed = !isCalm && site.clock.monotonic() < disturbedUntilMs;
    if (isDisturbed) runDisturbance(site, setting, draws);
  }
  const wrong = [...condemned].filter(part => !badParts.includes(part));
  return {
    seed,
    setting: describeSetting(setting),
    crashes: badParts.map(part => listCrashes(site, part).length),
    late: badParts.map(part => countLate(site, part)),
    soundRatio: computeSoundRatio(site, badParts),
    condemnedSound: wrong.length,
  };
}

function drawSetting(
  {next, between, log}: Draws,
  {hasBadParts = true, maxBadPerSecond = 20, ...options}: HistoryOptions,
): Setting {
  const gateways = Math.round(log(2, 87));
  const cores = between(3, 9);
  const endpoints = Math.round(log(2, 98));
  const batch = Math.round(log(1, 64));
  const partCount = between(2, 6);
  const isFirst = next() < 0.3;
  const badPerSecond = log(0.5, maxBadPerSecond);
  const badParts = hasBadParts
    ? Array.from({length: between(1, 2)}, (_, index) => `bad${index}`)
    : [];
  const isCalm = options.isCalm ?? next() < 0.4;
  const lossShare = !isCalm && next() < 0.5 ? next() * 0.3 : 0;
  return {
    gateways,
    cores,
    endpoints,
    batch,
    partCount,
    isFirst,
    badPerSecond,
    badParts,
    isCalm,
    lossShare,
    // Leaves room at the engines, so that requests do not queue for long.
    soundPerSecond: Math.min(60, endpoints * Math.min(batch, 8) * 0.5),
  };
}

function describeSetting(setting: Setting): string {
  const {gateways, endpoints, batch, badParts, badPerSecond} = setting;
  const {partCount, isFirst, isCalm, lossShare} = setting;
  return [
    `gateways ${gateways} engines ${endpoints} batch ${batch}`,
    `bad ${badParts.length} at ${badPerSecond.toFixed(1)}/s`,
    `parts ${partCount} ${isFirst ? 'first' : 'middle'}`,
    isCalm ? 'calm' : `loss ${lossShare.toFixed(2)}`,
  ].join(' ');
}

function createSite(
  seed: number,
  {gateways, cores, endpoints, batch, badParts, lossShare}: Setting,
): SimulatedSite {
  return new SimulatedSite({
    seed,
    gateways,
    cores,
    endpoints,
    engines: {batch, badParts: new Set(badParts)},
    lossShare,
    route: createRoute({
      repeatability: 'stream',
      resumable: true,
      maxAttempts: 3,
      objectiveMs: 2_000,
      timeoutMs: 8_000,
    }),
  });
}

/** Creates the function that runs a site for a while under its load. */
function createLoad(
  site: SimulatedSite,
  setting: Setting,
  {next, between}: Draws,
): (ms: number, hasBad: boolean) => Promise<void> {
  const {badParts, badPerSecond, soundPerSecond, partCount, isFirst} = setting;
  let count = 0;
  const drawSharedPart = () =>
    next() < NEW_PART_SHARE
      ? `new${count}`
      : `shared${Math.floor(next() ** 2 * SHARED_PARTS)}`;
  const drawPrompt = (bad: string | null): FakeRequest => {
    count++;
    const parts = [`first${Math.floor(next() * FIRST_PARTS)}`];
    while (parts.length < partCount - 1) parts.push(drawSharedPart());
    if (bad !== null && (isFirst || parts.length === 1)) parts[0] = bad;
    else if (bad !== null) parts[between(1, parts.length - 1)] = bad;
    parts.push(`own${count}`);
    const prompt: PromptPart[] = parts.map(id => ({id, tokens: 100}));
    return {prompt, promptTokens: 100 * partCount, body: `body${count}`};
  };
  return async (ms, hasBad) => {
    const badRate = hasBad ? badPerSecond * badParts.length : 0;
    await site.run(ms, soundPerSecond + badRate, () => {
      const isBad = next() * (soundPerSecond + badRate) < badRate;
      const bad = isBad ? badParts[between(0, badParts.length - 1)] : null;
      return drawPrompt(bad ?? null);
    });
  };
}

function listCrashes({engines}: SimulatedSite, part: string): number[] {
  const crashes = engines?.crashes ?? [];
  return crashes.filter(each => each.cause === part).map(({atMs}) => atMs);
}

/** Counts requests with a part that gateways in touch sent on too late. */
function countLate(site: SimulatedSite, part: string): number {
  const fifth = listCrashes(site, part)[COUNTED_CRASHES - 1] ?? Infinity;
  return site.arrivals.filter(
    ({parts, atMs, isExcused}) =>
      parts.includes(part) && atMs > fifth + CONTACT_MS && !isExcused,
  ).length;
}

/**
 * Compares how often sound requests of the same callers begin while bad parts
 * come with how often they did before; `null` with under 20 of either.
 */
function computeSoundRatio(
  site: SimulatedSite,
  badParts: readonly string[],
): number | null {
  const last = badParts.map(
    part =>
      listCrashes(site, part).slice(0, COUNTED_CRASHES).at(-1) ?? Infinity,
  );
  const from = Math.max(...last) + 2 * CONTACT_MS;
  const sound = site.requests.filter(
    ({parts, isExcused}) =>
      !isExcused && !parts.some(part => badParts.includes(part)),
  );
  const before = sound.filter(({atMs}) => atMs < BAD_FROM_MS);
  const during = sound.filter(
    ({atMs}) => atMs >= from && atMs < BAD_UNTIL_MS - 1_000,
  );
  if (before.length < 20 || during.length < 20) return null;
  const computeShare = (list: typeof sound) =>
    list.filter(({status}) => status === 200).length / list.length;
  return computeShare(during) / computeShare(before);
}
