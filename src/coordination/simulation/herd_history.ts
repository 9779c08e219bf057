/**
 * Drawn histories of a herd: endpoints that leave or end together, or answers that
 * are lost for a while, and an order soon after it.
 */
import {createDraws, type Draws} from '../../protocol/seeded_draws.ts';
import type {CrashWatch} from '../quarantine/crash_watch.ts';
import {callAsOperator} from './call_as_operator.ts';
import type {ControlGateway} from './control_gateway.ts';
import {ControlPlane, type Place} from './control_plane.ts';
import {MEASURED_PRICES} from './priced_processor.ts';
import {ReportingEndpoint} from './reporting_endpoint.ts';
import type {SecondTraffic} from './traffic_record.ts';

const SERVICE = 'app';

const ENDPOINTS = 128;

/** The time until all daemons run, and in which calm is measured, in ms. */
const SETTLE_MS = 10_000;
const CALM_MS = 4_000;

/** How long the herd itself takes, and lost answers go on, in ms. */
const HERD_MS = 500;
const LOST_ANSWERS_MS = 5_000;

/** After which time calm is measured again, in ms. */
const OVER_MS = 3_000;

/** The time until endpoints that leave stop: after the history. */
const STOP_AFTER_MS = 60_000;

/** The longest time that a request is at an endpoint before it ends, in ms. */
const MAX_EXPOSURE_MS = 1_000;

const OPERATOR_WITHIN_MS = 8_000;
const MS_PER_SECOND = 1_000;

/** Parts that requests have in common, and parts of one prompt. */
const COMMON_PARTS = 12;
const PROMPT_PARTS = 3;

export type Herd =
  | {readonly kind: 'departures'; readonly count: number}
  | {
      readonly kind: 'crashes';
      readonly count: number;
      readonly isCommon: boolean;
    }
  | {
      readonly kind: 'lost-answers';
      readonly perSecond: number;
      readonly isCommon: boolean;
    };

/** What passes through a core daemon in a second, at the most. */
export interface MostTraffic {
  readonly messages: number;
  readonly bytes: number;
  /** The same by the names of the messages, of the second with most bytes. */
  readonly byName: Readonly<Record<string, readonly [number, number]>>;
}

export interface HerdFigures {
  readonly seed: number;
  readonly cores: number;
  readonly gateways: number;
  readonly herd: Herd;
  readonly calm: MostTraffic;
  readonly during: MostTraffic;
  readonly after: MostTraffic;
  /** How long the order took; `null` without an ack. */
  readonly ackMs: number | null;
  /** The gateways without it at its ack. */
  readonly behind: number;
  readonly unacknowledged: readonly string[];
}

export interface HerdHistoryOptions {
  readonly seed: number;
  /** Receives the log lines of all daemons. */
  readonly trace?: ((line: string, fields?: object) => void) | undefined;
}

/** Plays one history. */
export async function playHerdHistory({
  seed,
  trace,
}: HerdHistoryOptions): Promise<HerdFigures> {
  const draws = createDraws(seed);
  const herd = drawHerdKind(draws);
  const centres = draws.between(3, 6);
  const place = (index: number): Place => ({
    region: index % centres < centres / 2 ? 'north' : 'south',
    dataCentre: `dc${index % centres}`,
  });
  const plane = new ControlPlane({
    cores: Array.from({length: draws.between(3, 9)}, (_, index) =>
      place(index),
    ),
    gateways: Array.from({length: Math.round(draws.log(6, 90))}, (_, index) =>
      place(index),
    ),
    random: draws.next,
    trace,
    prices: MEASURED_PRICES,
  });
  const unacknowledged: string[] = [];
  const endpoints = Array.from(
    {length: ENDPOINTS},
    (_, index) =>
      new ReportingEndpoint({
        plane,
        draws,
        index,
        region: 'north',
        onDeparture: () => {},
        onUnacknowledged: id => unacknowledged.push(id),
      }),
  );
  await plane.start();
  void placeOrder(plane, draws, 1);
  for (const endpoint of endpoints) void endpoint.run();
  await plane.run(SETTLE_MS);
  const calmFrom = plane.clock.monotonic();
  await plane.run(CALM_MS);
  const herdAt = plane.clock.monotonic();
  plane.trace('The herd begins.', herd);
  const herdMs = startHerd(herd, {plane, draws, endpoints});
  const order = plane.clock
    .sleep(herdMs + draws.log(100, 5_000))
    .then(() => placeOrder(plane, draws, 2));
  const overAt = herdAt + herdMs + OVER_MS;
  await plane.run(overAt + CALM_MS - herdAt);
  await plane.run(OPERATOR_WITHIN_MS);
  return {
    seed,
    cores: plane.coreNames.length,
    gateways: plane.gateways.length,
    herd,
    calm: findMost(plane, calmFrom, herdAt),
    during: findMost(plane, herdAt, overAt),
    after: findMost(plane, overAt, overAt + CALM_MS),
    ...(await order),
    unacknowledged,
  };
}

function drawHerdKind(draws: Draws): Herd {
  const isCommon = draws.next() < 0.5;
  const kind = draws.between(0, 4);
  if (kind === 0) return {kind: 'crashes', count: 92, isCommon};
  if (kind === 1) {
    return {kind: 'lost-answers', perSecond: draws.log(10, 80), isCommon};
  }
  return {kind: 'departures', count: [16, 64, 122][kind - 2] ?? 16};
}

interface HerdParts {
  readonly plane: ControlPlane;
  readonly draws: Draws;
  readonly endpoints: readonly ReportingEndpoint[];
}

/** Starts a herd; returns how long it takes, in ms. */
function startHerd(herd: Herd, {plane, draws, endpoints}: HerdParts): number {
  const {clock, gateways} = plane;
  if (herd.kind === 'departures') {
    for (const endpoint of endpoints.slice(0, herd.count)) {
      void clock
        .sleep(draws.next() * HERD_MS)
        .then(() => endpoint.leave('draining', STOP_AFTER_MS));
    }
    return HERD_MS;
  }
  const isCrash = herd.kind === 'crashes';
  const herdMs = isCrash ? HERD_MS : LOST_ANSWERS_MS;
  const ends = isCrash
    ? herd.count
    : Math.round((herd.perSecond * LOST_ANSWERS_MS) / MS_PER_SECOND);
  for (let index = 0; index < ends; index++) {
    const prompts = Array.from({length: isCrash ? 4 : 1}, () => ({
      gateway: gateways[draws.between(0, gateways.length - 1)],
      parts: drawParts(draws, {isCommon: herd.isCommon, index}),
    }));
    const id = `e${isCrash ? index : draws.between(0, ENDPOINTS - 1)}`;
    const exposureMs = draws.log(30, MAX_EXPOSURE_MS);
    void clock.sleep(draws.next() * herdMs).then(async () => {
      const open = prompts.map(({gateway, parts}) =>
        openRequest(gateway, id, parts),
      );
      await clock.sleep(exposureMs);
      for (const request of open) request?.recordDisconnect();
    });
  }
  return herdMs;
}

/** Draws the parts of a prompt, in common with others or its own. */
function drawParts(
  draws: Draws,
  {isCommon, index}: {readonly isCommon: boolean; readonly index: number},
): string[] {
  return Array.from({length: PROMPT_PARTS}, (_, part) =>
    isCommon && part < PROMPT_PARTS - 1
      ? `common${draws.between(0, COMMON_PARTS - 1)}`
      : `own${index}-${part}-${draws.between(0, 1_000_000)}`,
  );
}

/** Sends one request of a gateway to an endpoint. */
function openRequest(
  gateway: ControlGateway | undefined,
  id: string,
  parts: readonly string[],
): CrashWatch | null {
  const endpoint = gateway?.view.findEndpoint(id);
  if (!gateway || !endpoint) return null;
  const watched = parts.map(part => ({kind: 'part' as const, part}));
  const request = {kind: 'request' as const, part: parts.join()};
  return gateway.quarantine.observe(
    {
      admitted: {service: {name: SERVICE}, caller: 'c1'},
      watchedParts: watched,
      listWatched: () => [request, ...watched],
    },
    endpoint,
  );
}

/** Sends an order until it is acknowledged. */
async function placeOrder(
  plane: ControlPlane,
  draws: Draws,
  version: number,
): Promise<Pick<HerdFigures, 'ackMs' | 'behind'>> {
  const {clock, coreNames} = plane;
  const startedAt = clock.monotonic();
  for (let attempt = 0; ; attempt++) {
    const name = coreNames[draws.between(0, coreNames.length - 1)] ?? '';
    const outcome = await callAsOperator(plane, name, core =>
      core.api.replaceDocument(version, String(version)),
    );
    const ms = clock.monotonic() - startedAt;
    if (outcome === 'accepted') {
      const behind = plane.gateways.filter(
        ({view}) => view.routes && view.routes.table.version < version,
      );
      return {ackMs: ms, behind: behind.length};
    }
    if (ms > OPERATOR_WITHIN_MS) return {ackMs: null, behind: 0};
    await clock.sleep(Math.min(800, 100 * 2 ** attempt));
  }
}

/** Finds the most that passed through a core daemon in a second of a span. */
function findMost(
  {traffic, coreNames}: ControlPlane,
  fromMs: number,
  untilMs: number,
): MostTraffic {
  const seconds = coreNames.flatMap(name =>
    traffic.list(name, fromMs, untilMs),
  );
  const [most] = seconds.sort((a: SecondTraffic, b) => b.bytes - a.bytes);
  return {
    messages: Math.max(0, ...seconds.map(({messages}) => messages)),
    bytes: most?.bytes ?? 0,
    byName: Object.fromEntries(most?.byName ?? []),
  };
}
