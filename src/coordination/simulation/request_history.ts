/** Plays a seeded history of a site whose endpoints some requests crash. */
import {createDraws, type Draws} from '../../protocol/seeded_draws.ts';
import type {Route} from '../../protocol/route_table.ts';
import {createCall} from '../forwarding/call_fakes.ts';
import {createRoute, type FakeRequest} from '../forwarding/forwarding_fakes.ts';
import {computeRequestIdentity} from '../quarantine/request_identity.ts';
import {runDisturbance, runFlaps, type SiteSize} from './disturbances.ts';
import {SimulatedSite} from './simulated_site.ts';
import type {LinkFault, SiteLoad} from './simulated_site_types.ts';

/** The time in which a fact must reach gateways in touch, in ms. */
const CONTACT_MS = 4_000;

/** When bad requests come, in ms. */
const BAD_FROM_MS = 3_000;
const BAD_UNTIL_MS = 24_000;

/** Steps between two disturbances, in ms. */
const PAUSE_MIN_MS = 200;
const PAUSE_RANDOM_MS = 1_200;

/** Crashes under a request after which it must stay away. */
const COUNTED_CRASHES = 3;

const CUSTOMERS = 5;

/** Requests that callers repeat: polls and look-ups without a body. */
const POLLS = 6;
const POLL_SHARE = 0.5;

/** Parts that prompts share. */
const SHARED_PARTS = 10;

/** What happens beside the bad requests. */
export type Trouble =
  /** Nothing. */
  | 'none'
  /** Drawn: restarts, cuts, crashes, lost messages. */
  | 'drawn'
  /** Endpoints crash, one in a second. */
  | 'flaps'
  | 'racks'
  /** Endpoints end one after the other, without a notice. */
  | 'rolling-restart'
  /** Endpoints drain and end one after the other. */
  | 'planned-ends'
  /** Endpoints stand still for 1 to 2 s. */
  | 'freezes'
  /** One gateway after the other loses its links to all endpoints. */
  | 'broken-links';

export interface RequestHistoryOptions {
  readonly seed: number;
  /** 'drawn' by default. */
  readonly trouble?: Trouble;
  /** Whether bad requests come at all; true by default. */
  readonly hasBad?: boolean;
}

/** What a history showed. */
export interface RequestHistoryFigures {
  readonly seed: number;
  readonly setting: string;
  /** Endpoints that each bad request ended. */
  readonly crashes: readonly number[];
  /** Sendings of each bad request that reached endpoints too late. */
  readonly late: readonly number[];
  /** How often sound requests began while bad ones came, beside before. */
  readonly soundRatio: number | null;
  /** Sound requests and parts that were condemned. */
  readonly condemnedSound: number;
  /** Requests that were sent again though they may not be repeated. */
  readonly repeatedUnsafe: number;
}

type Kind = 'call' | 'unsafe-call' | 'stream';

interface BadRequest {
  readonly customer: string;
  readonly request: FakeRequest & {readonly body: string};
  readonly perSecond: number;
  /** The only gateway that gets it; `undefined` for any. */
  readonly gateway: number | undefined;
}

interface Setting extends SiteSize {
  readonly kind: Kind;
  readonly batch: number;
  readonly movesAddress: boolean;
  readonly lossShare: number;
  readonly soundPerSecond: number;
  readonly bad: readonly BadRequest[];
}

/** Plays a history and returns its figures. */
export async function playRequestHistory(
  options: RequestHistoryOptions,
): Promise<RequestHistoryFigures> {
  const {seed, trouble = 'drawn'} = options;
  const draws = createDraws(seed);
  const setting = drawSetting(draws, options);
  const {bad} = setting;
  const site = createSite(seed, setting);
  const sound: SiteLoad = {
    perSecond: setting.soundPerSecond,
    drawRequest: createSoundDraws(setting, draws),
  };
  const badLoads = bad.map(({request, ...load}) => ({
    ...load,
    drawRequest: () => request,
  }));
  await site.runLoads(BAD_FROM_MS, [sound]);
  const troubledUntilMs =
    BAD_FROM_MS + draws.next() * (BAD_UNTIL_MS - BAD_FROM_MS);
  const condemned = new Set<string>();
  const runTrouble = createTrouble(trouble, setting, draws);
  while (site.clock.monotonic() < BAD_UNTIL_MS) {
    const pauseMs = PAUSE_MIN_MS + draws.next() * PAUSE_RANDOM_MS;
    await site.runLoads(pauseMs, [sound, ...badLoads]);
    for (const each of site.listCondemned()) condemned.add(each);
    const isOver =
      trouble === 'drawn' && site.clock.monotonic() > troubledUntilMs;
    if (!isOver) runTrouble(site, pauseMs);
  }
  const bodies = bad.map(({request}) => request.body);
  const identities = new Set(bad.map(identifyBad));
  return {
    seed,
    setting: describeSetting(setting),
    crashes: bodies.map(body => listCrashes(site, body).length),
    late: bodies.map(body => countLate(site, body)),
    soundRatio: computeSoundRatio(site, bodies),
    condemnedSound: [...condemned].filter(each => !identities.has(each)).length,
    repeatedUnsafe: setting.kind === 'unsafe-call' ? countRepetitions(site) : 0,
  };
}

function drawSetting(
  {next, between, log}: Draws,
  {trouble = 'drawn', hasBad = true}: RequestHistoryOptions,
): Setting {
  const gateways = Math.round(log(3, 90));
  const cores = between(3, 9);
  const endpoints = Math.round(log(2, 60));
  const batch = Math.round(log(1, 64));
  const kinds: readonly Kind[] = ['call', 'unsafe-call', 'stream'];
  const kind = kinds[between(0, kinds.length - 1)] ?? 'call';
  const movesAddress = next() < 0.5;
  const isAtOneGateway = next() < 0.25;
  const count = between(1, 4);
  const bad = Array.from({length: count}, (_, index) => {
    const customer = `c${between(0, CUSTOMERS - 1)}`;
    const body = `bad${index}`;
    const prompt = kind === 'stream' ? drawPrompt(next, body) : {};
    return {
      customer,
      request: {key: createKey(customer), body, ...prompt},
      perSecond: log(0.2, 20),
      gateway: isAtOneGateway ? between(0, gateways - 1) : undefined,
    };
  });
  const lossShare = trouble === 'drawn' && next() < 0.5 ? next() * 0.3 : 0;
  return {
    gateways,
    cores,
    endpoints,
    batch,
    kind,
    movesAddress,
    lossShare,
    // Leaves room at the endpoints, so that requests do not queue for long.
    soundPerSecond: Math.min(60, endpoints * Math.min(batch, 8) * 0.5),
    bad: hasBad ? bad : [],
  };
}

function createKey(customer: string): string {
  return `key-${customer}`;
}

function identifyBad({customer, request}: BadRequest): string {
  return computeRequestIdentity({
    call: createCall('bad', {body: Buffer.from(request.body)}),
    caller: customer,
    route: createRoute(),
  });
}

function drawPrompt(next: () => number, own: string): FakeRequest {
  const shared = () => `shared${Math.floor(next() ** 2 * SHARED_PARTS)}`;
  const ids = ['first', shared(), shared(), own];
  const prompt = ids.map(id => ({id, tokens: 100}));
  return {prompt, promptTokens: 100 * ids.length};
}

function describeSetting(setting: Setting): string {
  const {gateways, endpoints, batch, kind, movesAddress, lossShare} = setting;
  const rates = setting.bad.map(({perSecond}) => perSecond.toFixed(1));
  const isAtOne = setting.bad[0]?.gateway !== undefined;
  return [
    `${kind} gateways ${gateways} endpoints ${endpoints} batch ${batch}`,
    `bad ${rates.join('+')}/s ${isAtOne ? 'at one gateway' : ''}`,
    `loss ${lossShare.toFixed(2)} ${movesAddress ? 'new addresses' : ''}`,
  ].join(' ');
}

function createSite(
  seed: number,
  {gateways, cores, endpoints, batch, kind, bad, ...setting}: Setting,
): SimulatedSite {
  const isStream = kind === 'stream';
  return new SimulatedSite({
    seed,
    gateways,
    cores,
    endpoints,
    engines: {
      batch,
      badBodies: new Set(bad.map(({request}) => request.body)),
      answersCalls: !isStream,
      movesAddress: setting.movesAddress,
    },
    customers: Array.from({length: CUSTOMERS}, (_, index) => {
      const name = `c${index}`;
      return {name, keys: [createKey(name)], priority: null};
    }),
    lossShare: setting.lossShare,
    route: createHistoryRoute(kind),
  });
}

function createHistoryRoute(kind: Kind): Route {
  const isStream = kind === 'stream';
  return createRoute({
    repeatability: isStream
      ? 'stream'
      : kind === 'call'
        ? 'idempotent'
        : 'not-repeatable',
    resumable: isStream,
    maxAttempts: 3,
    objectiveMs: isStream ? 2_000 : 500,
    timeoutMs: isStream ? 8_000 : 6_000,
    isPublic: false,
  });
}

/** Draws sound requests: polls that callers repeat, and others. */
function createSoundDraws(
  {kind}: Setting,
  {next, between}: Draws,
): () => FakeRequest {
  let count = 0;
  return () => {
    count++;
    const isPoll = next() < POLL_SHARE;
    const body = isPoll ? `poll${between(0, POLLS - 1)}` : `body${count}`;
    const key = createKey(`c${between(0, CUSTOMERS - 1)}`);
    if (kind !== 'stream') return {key, body};
    return {key, body, ...drawPrompt(next, `own-${body}`)};
  };
}

/** Creates the function that brings trouble to a site for a span of time. */
function createTrouble(
  trouble: Trouble,
  setting: Setting,
  draws: Draws,
): (site: SimulatedSite, spanMs: number) => void {
  const {endpoints, gateways} = setting;
  const {next, between} = draws;
  let turn = 0;
  switch (trouble) {
    case 'none':
      return () => {};
    case 'drawn':
      return site => runDisturbance(site, setting, draws);
    case 'flaps':
      return (site, spanMs) =>
        runFlaps(site, setting, {draws, flaps: spanMs / 1_000});
    case 'racks':
      return site => {
        if (next() > 0.3) return;
        const first = between(0, endpoints - 1);
        for (let index = 0; index < endpoints / 3; index++) {
          site.engines?.crash((first + index) % endpoints);
        }
      };
    case 'rolling-restart':
      return site => site.engines?.crash(turn++ % endpoints);
    case 'planned-ends':
      return site => site.engines?.endPlanned(turn++ % endpoints);
    case 'freezes':
      return site =>
        site.engines?.freeze(between(0, endpoints - 1), between(1_000, 2_000));
    case 'broken-links':
      return site => {
        const faults: readonly LinkFault[] = ['reset', 'refuse', 'hang'];
        const fault = faults[between(0, faults.length - 1)] ?? 'reset';
        site.breakLinks(between(0, gateways - 1), fault, between(500, 6_000));
      };
  }
}

function listCrashes({engines}: SimulatedSite, body: string): number[] {
  const crashes = engines?.crashes ?? [];
  return crashes.filter(({cause}) => cause === body).map(({atMs}) => atMs);
}

/** Counts sendings that gateways in touch let reach endpoints too late. */
function countLate(site: SimulatedSite, body: string): number {
  const last = listCrashes(site, body)[COUNTED_CRASHES - 1] ?? Infinity;
  return site.arrivals.filter(
    arrival =>
      arrival.body === body &&
      arrival.atMs > last + CONTACT_MS &&
      !arrival.isExcused,
  ).length;
}

/** Counts arrivals of requests beyond the first of each. */
function countRepetitions({arrivals}: SimulatedSite): number {
  const ids = new Set(arrivals.map(({attemptId}) => attemptId));
  return arrivals.length - ids.size;
}

/**
 * Compares how often sound requests begin once the bad ones are known with how
 * often they did before; `null` with under 20 of either.
 */
function computeSoundRatio(
  site: SimulatedSite,
  bad: readonly string[],
): number | null {
  const known = bad.flatMap(body =>
    listCrashes(site, body).slice(0, COUNTED_CRASHES),
  );
  const from = Math.max(BAD_FROM_MS, ...known) + 2 * CONTACT_MS;
  const sound = site.requests.filter(
    ({body, isExcused}) => !isExcused && !bad.includes(body),
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
