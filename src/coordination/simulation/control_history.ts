/**
 * Drawn histories of changes, endpoints that leave and troubles, with what an
 * acknowledgement was worth in each.
 */
import {createDraws, type Draws} from '../../protocol/seeded_draws.ts';
import {ControlPlane, type Place} from './control_plane.ts';
import {ControlTroubles, TROUBLES, type Trouble} from './control_troubles.ts';
import {callAsOperator} from './call_as_operator.ts';
import {OrderRecord} from './order_record.ts';
import {drawHerd, drawOrders, type Pressure} from './order_pressure.ts';
import {
  ReportingEndpoint,
  type AcknowledgedDeparture,
  type Departure,
} from './reporting_endpoint.ts';

/** The bounds of what gateways may still act on, in ms from the ack. */
export const APPLY_MS = 3_000;
export const DRAIN_MS = 3_000;

/** How long an operator tries. */
const OPERATOR_WITHIN_MS = 8_000;

const ENDPOINTS = 12;
const SETTLE_MS = 8_000;
const STEP_MS = 25;

const DEPARTURES: readonly Departure[] = [
  'draining',
  'draining',
  'deregister',
  'deregister-and-report',
];

export interface ControlHistoryOptions {
  readonly seed: number;
  /** Receives the log lines of all daemons. */
  readonly trace?: ((line: string, fields?: object) => void) | undefined;
  /** The troubles that are drawn from; all by default. */
  readonly troubles?: readonly Trouble[];
  /** What presses on the core beside them; by default nothing. */
  readonly pressure?: Pressure | undefined;
}

export interface ControlFigures {
  readonly seed: number;
  readonly cores: number;
  readonly gateways: number;
  readonly troubles: string[];
  /** Gateways in touch that act on an older version than they may. */
  readonly late: Set<string>;
  /** Gateways in touch that may send to an endpoint that has left. */
  readonly lateSends: Set<string>;
  /** Versions that a gateway applied after a newer one. */
  readonly stepsBack: string[];
  /** Times until acks of changes and departures, in calm and in trouble. */
  readonly calmChanges: number[];
  readonly troubledChanges: number[];
  readonly calmDepartures: number[];
  readonly troubledDepartures: number[];
  readonly unacknowledged: string[];
  /** From the ack of a change until each gateway in touch has it, in ms. */
  readonly lags: number[];
  /** The followers of the busiest core daemon at the end. */
  mostFollowers: number;
  /** What orders cost, and what their acks were worth. */
  readonly orders: OrderRecord;
}

interface AcknowledgedVersion {
  readonly version: number;
  readonly atMs: number;
}

/** Plays one history. */
export async function playControlHistory({
  seed,
  trace,
  troubles: kinds = TROUBLES,
  pressure,
}: ControlHistoryOptions): Promise<ControlFigures> {
  const draws = createDraws(seed);
  const regions = ['north', 'south', 'west'].slice(0, draws.between(2, 3));
  const centres = draws.between(3, 6);
  const place = (index: number): Place => {
    const centre = index % centres;
    const region = regions[centre % regions.length] ?? '';
    return {region, dataCentre: `dc${centre}`};
  };
  const coreCount = draws.between(3, 9);
  const gatewayCount = Math.round(draws.log(3, 90));
  const plane = new ControlPlane({
    cores: Array.from({length: coreCount}, (_, index) => place(index)),
    gateways: Array.from({length: gatewayCount}, (_, index) => place(index)),
    random: draws.next,
    trace,
    prices: pressure?.prices,
  });
  const troubles = new ControlTroubles({plane, draws});
  const figures: ControlFigures = {
    seed,
    cores: coreCount,
    gateways: gatewayCount,
    troubles: [],
    late: new Set(),
    lateSends: new Set(),
    stepsBack: [],
    calmChanges: [],
    troubledChanges: [],
    calmDepartures: [],
    troubledDepartures: [],
    unacknowledged: [],
    lags: [],
    mostFollowers: 0,
    orders: new OrderRecord({plane, troubles}),
  };
  const history = new ControlHistory({
    plane,
    troubles,
    draws,
    figures,
    pressure,
  });
  await plane.start();
  await history.play(kinds);
  trace?.(JSON.stringify({...figures, lags: [], orders: null}));
  return figures;
}

interface ControlHistoryParts {
  readonly plane: ControlPlane;
  readonly troubles: ControlTroubles;
  readonly draws: Draws;
  readonly figures: ControlFigures;
  readonly pressure: Pressure | undefined;
}

class ControlHistory {
  private readonly versions: AcknowledgedVersion[] = [];
  private readonly departures: AcknowledgedDeparture[] = [];
  private readonly endpoints: ReportingEndpoint[];
  private readonly lagsRecorded = new Set<string>();
  private version = 0;

  constructor(private readonly parts: ControlHistoryParts) {
    const {plane, troubles, draws, figures, pressure} = parts;
    this.endpoints = Array.from(
      {length: pressure?.endpoints ?? ENDPOINTS},
      (_, index) =>
        new ReportingEndpoint({
          plane,
          draws,
          index,
          region: 'north',
          onDeparture: departure => {
            this.departures.push(departure);
            const list = troubles.isCalm
              ? figures.calmDepartures
              : figures.troubledDepartures;
            list.push(departure.tookMs);
            troubles.handleAck(departure.by);
          },
          onUnacknowledged: id => {
            if (troubles.isCoreStable) figures.unacknowledged.push(id);
          },
        }),
    );
  }

  async play(kinds: readonly Trouble[]): Promise<void> {
    const {plane, draws, figures} = this.parts;
    void this.change();
    for (const endpoint of this.endpoints) void endpoint.run();
    await this.runFor(SETTLE_MS);
    const series = draws.between(3, 6);
    void this.runChanges();
    void this.runDepartures();
    for (let count = 0; count < series; count++) {
      const kind = kinds[draws.between(0, kinds.length - 1)];
      if (kind === undefined) break;
      figures.troubles.push(`${plane.clock.monotonic()} ${kind}`);
      let isOver = false;
      void this.parts.troubles.play(kind).then(() => (isOver = true));
      // Some troubles overlap with the next one.
      const overlaps = draws.next() < 0.2;
      while (!isOver && !overlaps) await this.runFor(STEP_MS);
      await this.runFor(overlaps ? 700 : 4_000 + draws.between(0, 600));
    }
    await this.runFor(9_000);
    figures.mostFollowers = this.countMostFollowers();
    figures.orders.finish();
    this.isOver = true;
  }

  private isOver = false;

  private async runFor(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await this.parts.plane.run(STEP_MS);
      this.parts.troubles.step();
      this.check();
    }
  }

  /** Changes the configuration now and then, at times in a storm. */
  private async runChanges(): Promise<void> {
    const {plane, draws, pressure} = this.parts;
    while (!this.isOver && pressure) {
      for (const {delayMs, operators} of drawOrders(draws)) {
        await plane.clock.sleep(delayMs);
        const version = ++this.version;
        for (let each = 0; each < operators; each++) void this.change(version);
      }
    }
    while (!this.isOver) {
      const isStorm = draws.next() < 0.15;
      const count = isStorm ? draws.between(3, 12) : 1;
      for (let index = 0; index < count; index++) {
        void this.change();
        await plane.clock.sleep(isStorm ? draws.between(60, 400) : 0);
      }
      await plane.clock.sleep(draws.log(200, 3_000));
    }
  }

  private async runDepartures(): Promise<void> {
    const {plane, draws, pressure} = this.parts;
    while (!this.isOver && pressure) {
      const {delayMs, share, withinMs} = drawHerd(draws);
      await plane.clock.sleep(delayMs);
      for (const endpoint of this.endpoints) {
        if (endpoint.isLeaving || draws.next() >= share) continue;
        const afterMs = draws.next() * withinMs;
        void plane.clock
          .sleep(afterMs)
          .then(() => endpoint.leave(DEPARTURES[0] ?? 'draining'));
      }
    }
    while (!this.isOver) {
      await plane.clock.sleep(draws.log(150, 3_000));
      const staying = this.endpoints.filter(({isLeaving}) => !isLeaving);
      // Some endpoints always stay.
      if (staying.length <= ENDPOINTS / 2) continue;
      const endpoint = staying[draws.between(0, staying.length - 1)];
      const how = DEPARTURES[draws.between(0, DEPARTURES.length - 1)];
      if (endpoint && how) void endpoint.leave(how);
    }
  }

  /** Lets an operator change the configuration, at one daemon after another. */
  private async change(version = ++this.version): Promise<void> {
    const {plane, draws, troubles, figures, pressure} = this.parts;
    const {clock} = plane;
    const order = figures.orders.begin(version);
    const startedAt = clock.monotonic();
    const wasStable = troubles.isCoreStable;
    const wasCalm = troubles.isCalm;
    for (let attempt = 0; ; attempt++) {
      const name =
        plane.coreNames[draws.between(0, plane.coreNames.length - 1)];
      const outcome = await callAsOperator(plane, name ?? '', core =>
        core.api.replaceDocument(version, String(version)),
      );
      const now = clock.monotonic();
      if (outcome === 'conflict') order.recordRefusal();
      if (outcome === 'accepted') order.recordAck();
      const isLost =
        pressure !== undefined && draws.next() < pressure.lostAckShare;
      if (outcome === 'accepted' && !isLost) {
        this.versions.push({version, atMs: now});
        const isCalm = wasCalm && troubles.isCalm;
        const list = isCalm ? figures.calmChanges : figures.troubledChanges;
        list.push(now - startedAt);
        troubles.handleAck(name ?? '');
        return;
      }
      if (now - startedAt > OPERATOR_WITHIN_MS) {
        if (wasStable) figures.unacknowledged.push(`version ${version}`);
        return;
      }
      await clock.sleep(Math.min(800, 100 * 2 ** attempt));
    }
  }

  private check(): void {
    const {plane, troubles, figures} = this.parts;
    const now = plane.clock.monotonic();
    const required = Math.max(
      0,
      ...this.versions
        .filter(({atMs}) => atMs + APPLY_MS < now)
        .map(({version}) => version),
    );
    const left = this.departures.filter(({atMs}) => atMs + DRAIN_MS < now);
    plane.gateways.forEach((gateway, index) => {
      this.recordLags(index, gateway.applied);
      if (!troubles.isInTouch(index) || gateway.view.routes === null) return;
      const version = gateway.view.routes.table.version;
      if (version < required) {
        figures.late.add(`${gateway.address} has ${version}, not ${required}`);
      }
      for (const {id, startedAtMs} of left) {
        const entry = gateway.view.findEndpoint(id);
        if (entry?.startedAtMs !== startedAtMs) continue;
        if (entry.state === 'ready') {
          figures.lateSends.add(`${gateway.address} ${id}/${startedAtMs}`);
        }
      }
    });
  }

  /** Records how long after its ack a gateway in touch has each version. */
  private recordLags(
    index: number,
    applied: ReadonlyArray<{version: number; atMs: number}>,
  ): void {
    const {troubles, figures} = this.parts;
    const newest = applied.at(-1)?.version ?? 0;
    const previous = applied.at(-2)?.version ?? 0;
    if (previous > newest) figures.stepsBack.push(`${index}: ${newest}`);
    for (const {version, atMs} of this.versions) {
      const key = `${index} ${version}`;
      if (version > newest || this.lagsRecorded.has(key)) continue;
      this.lagsRecorded.add(key);
      if (!troubles.isInTouch(index)) continue;
      const has = applied.find(each => each.version >= version);
      if (has) figures.lags.push(Math.max(0, has.atMs - atMs));
    }
  }

  private countMostFollowers(): number {
    const {plane} = this.parts;
    const counts = plane.coreNames.map(
      name => plane.gateways.filter(({followed}) => followed === name).length,
    );
    return Math.max(...counts);
  }
}
