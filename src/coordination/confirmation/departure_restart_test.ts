/**
 * Guards against requests to endpoints whose departure was acknowledged, after
 * daemons are killed, or disks lost, right after the acknowledgement.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import {createDraws} from '../../protocol/seeded_draws.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {ControlPlane, type ControlCore} from '../simulation/control_plane.ts';

const CORES = 5;

/** How many of them may lose their disks at the same time. */
const TOLERATED = 2;

const GATEWAYS = 2;

/** The interval at which core daemons save their views, in ms. */
const SAVE_MS = 500;

/** How long the processes are down, and the time until all are in touch, in ms. */
const DOWN_MS = 500;
const RECOVER_MS = 12_000;

/** How long a daemon is away until the others do not wait for it, in ms. */
const AWAY_MS = 4_000;

/** The time after which core daemons have forgotten a departure, in ms. */
const FORGET_MS = 65_000;

const ENDPOINT = 'e1';
const STARTED_AT_MS = 1;

type Departure = (core: ControlCore) => Promise<boolean>;

function createReport(change: Partial<EndpointReport> = {}): EndpointReport {
  const all = {startedAtMs: STARTED_AT_MS, sequence: 1, ...change};
  const {silent: _silent, ...report} = createEndpoint(ENDPOINT, all);
  return report;
}

function reportDraining(sequence: number): Departure {
  return core =>
    core.api.reportEndpoint(createReport({state: 'draining', sequence}));
}

const deregister: Departure = core =>
  core.api.reportGone(ENDPOINT, STARTED_AT_MS);

/** Starts a site whose disks know an endpoint that is ready. */
async function startSite(): Promise<ControlPlane> {
  const places = ['a', 'b', 'c'].map(dataCentre => ({region: 'r', dataCentre}));
  const createPlaces = (count: number) =>
    Array.from({length: count}, (_, index) => ({
      region: 'r',
      dataCentre: places[index % places.length]?.dataCentre ?? '',
    }));
  const plane = new ControlPlane({
    cores: createPlaces(CORES),
    gateways: createPlaces(GATEWAYS),
    random: createDraws(7).next,
  });
  await plane.start();
  await plane.run(8_000);
  void getFirst(plane).api.replaceDocument(1, '1');
  await plane.run(1_000);
  assert.equal(await getFirst(plane).api.reportEndpoint(createReport()), true);
  await plane.run(3 * SAVE_MS);
  // The next saves are as far away as they can be.
  const sinceSaveMs = plane.clock.monotonic() % SAVE_MS;
  await plane.run(SAVE_MS - sinceSaveMs + 25);
  assert.deepEqual(listStates(plane), ['ready', 'ready']);
  return plane;
}

function getFirst({cores, coreNames}: ControlPlane): ControlCore {
  const core = cores.get(coreNames[0] ?? '');
  if (!core) throw new Error('Could not find the first core daemon');
  return core;
}

/** Lists what the gateways know of the state of the start that leaves. */
function listStates({gateways}: ControlPlane): string[] {
  return gateways.map(({view}) => {
    const known = view.findEndpoint(ENDPOINT);
    if (known?.startedAtMs !== STARTED_AT_MS) return 'unknown';
    return known.state;
  });
}

/** Lets the endpoint leave, and calls back at the acknowledgement. */
async function leave(
  plane: ControlPlane,
  departure: Departure,
  onAck: () => void = () => {},
): Promise<boolean | null> {
  let isAcknowledged: boolean | null = null;
  void departure(getFirst(plane)).then(result => {
    isAcknowledged = result;
    if (result) onAck();
  });
  await plane.run(SAVE_MS - 100);
  return isAcknowledged;
}

/** Kills all processes at the acknowledgement; some disks are lost with them. */
async function checkRestart(
  plane: ControlPlane,
  departure: Departure,
  {wiped = []}: {wiped?: readonly string[]} = {},
): Promise<void> {
  const isAcknowledged = await leave(plane, departure, () => {
    for (const name of plane.coreNames) {
      if (wiped.includes(name)) plane.wipeCore(name);
      else plane.killCore(name);
    }
  });
  assert.equal(isAcknowledged, true);
  await plane.run(DOWN_MS);
  for (const name of plane.coreNames) await plane.restartCore(name);
  plane.gateways.forEach((_, index) => plane.restartGateway(index));
  await plane.run(RECOVER_MS);
  const states = listStates(plane);
  assert.ok(!states.includes('ready'), `the gateways know: ${states.join()}`);
}

// Guards against departures that are held by the memories of daemons alone: all
// processes were killed right after the acknowledgement.
test('an endpoint that deregistered stays gone when all daemons are killed', async () => {
  await checkRestart(await startSite(), deregister);
});

// Guards against the same for endpoints that say that they drain.
test('an endpoint that drains goes on draining when all daemons are killed', async () => {
  await checkRestart(await startSite(), reportDraining(2));
});

// Guards against departures on no more disks than may be lost.
test('an endpoint stays gone when the tolerated disks are lost as well', async () => {
  const plane = await startSite();
  const wiped = plane.coreNames.slice(0, TOLERATED);
  await checkRestart(plane, deregister, {wiped});
});

// Guards against the departure of a start that counts as over, since its successor
// is known, while only memories know the successor.
test('a start that was replaced stays gone when all daemons are killed', async () => {
  const plane = await startSite();
  await checkRestart(plane, async core => {
    const next = createReport({startedAtMs: STARTED_AT_MS + 1});
    await core.api.reportEndpoint(next);
    return core.api.reportGone(ENDPOINT, STARTED_AT_MS);
  });
});

// Guards against a daemon that was away while the others forgot a departure, and
// brings the endpoint back to all of them from its disk.
test('a daemon that was away for long brings no endpoint back', async () => {
  const plane = await startSite();
  const last = plane.coreNames.at(-1) ?? '';
  plane.killCore(last);
  await plane.run(AWAY_MS);
  assert.equal(await leave(plane, deregister), true);
  await plane.run(FORGET_MS);
  plane.gateways.forEach((_, index) => plane.restartGateway(index));
  await plane.restartCore(last);
  await plane.run(1_000);
  for (const [name, {state}] of plane.cores) {
    const known = state.endpoints.find(ENDPOINT);
    if (name !== last) assert.equal(known, null, name);
  }
  await plane.run(RECOVER_MS);
  assert.deepEqual(listStates(plane), ['unknown', 'unknown']);
});

test.run();
