/**
 * All processes are killed right after the ack of a worker's deregistration: after
 * the restart the worker gets requests again.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {call, sendOrder, Worker} from '../shared/clients.mjs';
import {BOUNDS, HAS_TROUBLE, runCase} from '../shared/site.mjs';

/**
 * Rounds at most. The ack must not come within the last some 50 ms before the daemons
 * save their views, which they do every 500 ms.
 */
const ROUNDS = 3;

/** How long the processes are down. */
const DOWN_MS = 500;

/** How long a worker that has deregistered goes on serving. */
const SERVES_ON_MS = 18_000;

/**
 * When requests are judged after the start of the processes. All machines are in
 * touch from 2 x ContactMs on.
 */
const JUDGED_AFTER_MS = Math.max(2 * BOUNDS.contactMs, BOUNDS.recoverMs);

/** Requests that a requester of each machine has open at the same time. */
const PARALLEL = 6;

const SERVICE = 'booking-app';

const MANIFEST = {
  Version: 1,
  Routes: [
    {
      Name: 'visits',
      Host: 'desk.example',
      PathPrefix: '/visits/',
      Kind: 'non_idempotent',
      TimeoutMs: 6_000,
      GoalMs: 400,
      MaxAttempts: 3,
      Service: SERVICE,
      Public: true,
    },
  ],
  Services: [{Name: SERVICE, HealthPath: '/healthz', MaxConns: 110}],
};

let requests = 0;

async function sendRequest(front) {
  const id = `request-${++requests}`;
  const {status} = await call(front, {
    method: 'POST',
    path: '/visits/7',
    body: 'garage door',
    headers: {
      Host: 'desk.example',
      'X-Attempt-Id': id,
      'X-Deadline-Ms': '6000',
    },
    timeoutMs: 6_500,
  });
  return {id, status};
}

/** Sends requests to all machines until a time; counts the statuses. */
async function sendTraffic(fronts, endsAt) {
  const statuses = {};
  const run = async front => {
    while (performance.now() < endsAt) {
      const {status} = await sendRequest(front);
      statuses[status] = (statuses[status] ?? 0) + 1;
      await sleep(40);
    }
  };
  await Promise.all(
    fronts.flatMap(front => Array.from({length: PARALLEL}, () => run(front))),
  );
  return statuses;
}

async function play({site, record, network}) {
  site.startAll({bootstrap: true});
  const {controls, gateways} = site;
  const fronts = gateways.map(({front}) => front);
  const first = await sendOrder(controls, {
    path: '/parsleypond/config/replace',
    body: JSON.stringify(MANIFEST),
    withinMs: 20_000,
  });
  record.write(`manifest: ${JSON.stringify(first)}`);
  if (!first.isAcknowledged) throw new Error('The manifest was not accepted');
  const createWorker = (id, host) =>
    new Worker({
      id,
      service: SERVICE,
      ip: `${network}.${host}`,
      port: 8_080,
      slots: 6,
      workMs: 60,
      zone: 'launceston',
      controls,
      beatMs: BOUNDS.beatMs,
    });
  const stays = createWorker('i-stays', 200);
  const leaves = createWorker('i-leaves', 201);
  await Promise.all([stays.start(), leaves.start()]);
  await sleep(BOUNDS.contactMs);
  const before = await sendTraffic(fronts, performance.now() + 2_000);
  record.write(
    `before: ${JSON.stringify(before)}, ${stays.runs.length} at i-stays, ` +
      `${leaves.runs.length} at i-leaves`,
  );
  if (leaves.runs.length === 0) throw new Error('i-leaves got no requests');

  const ackedBy = await leaves.deregister();
  const ackedAt = performance.now();
  record.write(`deregistration of i-leaves acknowledged by ${ackedBy}`);
  if (ackedBy === null) throw new Error('The deregistration was not acked');
  if (HAS_TROUBLE) {
    const all = [...site.machines.values()];
    await site.kill(all);
    record.write('killed all processes');
    await sleep(DOWN_MS);
    for (const machine of all) site.start(machine, {bootstrap: false});
    record.write('started all processes again');
  }
  const startedAt = performance.now();
  const judgedFrom = Math.max(
    startedAt + JUDGED_AFTER_MS,
    ackedAt + BOUNDS.drainMs,
  );
  leaves.onArrival = ({attemptId, isFull}) => {
    const ms = Math.round(performance.now() - ackedAt);
    const isLate = performance.now() > judgedFrom;
    if (!isLate) return;
    record.write(
      `${attemptId} reaches i-leaves ${ms} ms after the ack` +
        (isFull ? ' and is rejected' : ' and runs'),
    );
  };
  await sleep(judgedFrom - performance.now());
  const sentFrom = performance.now();
  const after = await sendTraffic(fronts, ackedAt + SERVES_ON_MS);
  const late = leaves.runs.filter(({at}) => at > sentFrom);
  await Promise.all([stays.stop(), leaves.stop()]);
  record.write(
    `after: ${JSON.stringify(after)}, ${late.length} reached i-leaves later ` +
      `than ${BOUNDS.drainMs} ms after the ack`,
  );
  return late.length > 0;
}

await runCase({
  file: new URL('record.txt', import.meta.url).pathname,
  gatewayCount: 2,
  rounds: ROUNDS,
  play,
});
