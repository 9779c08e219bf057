/**
 * The steps of the fault matrix. Each brings a piece of work to a certain
 * point, injects the faults and checks that the work completes.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {CallerRequest} from '../../testing/callers/caller.ts';
import type {CallRecord} from '../../testing/records/call_record.ts';
import type {RunStep} from '../../testing/stand_ins/step_gate.ts';
import type {Scenario} from '../../testing/system/scenario.ts';
import {waitFor} from '../../testing/system/system.ts';

/** Injects the faults of the cell; `endpoint` runs the request. */
export type Inject = (endpoint: string) => Promise<void>;

/** Runs one kind of work; returns violations that the checkers can't see. */
export type Step = (run: StepRun) => Promise<string[]>;

export interface StepRun {
  readonly scenario: Scenario;
  /** Unique for each run of a cell. */
  readonly id: string;
  readonly gateway: string;
  readonly inject: Inject;
}

/** Maximum time until a request completes after the faults. */
const COMPLETION_TIMEOUT_MS = 30_000;

/** How long an operator retries to apply a declaration. */
const APPLY_TIMEOUT_MS = 30_000;

/** Deadline of booking calls, by which the system must answer. */
const BOOKING_DEADLINE_MS = 10_000;

const RETRY_BACKOFF_MS = 300;

const ENGINES = ['e1', 'e2', 'e3'];
const SERVICES = ['s1', 's2'];

type RequestStep = 'before admit' | 'admitted' | RunStep | 'settled';

const REQUEST_STEPS: readonly RequestStep[] = [
  'before admit',
  'admitted',
  'dispatched',
  'first-byte',
  'mid-stream',
  'answered',
  'settled',
];

/** All steps by name. */
export const steps: Readonly<Record<string, Step>> = {
  ...Object.fromEntries(
    REQUEST_STEPS.map(step => [
      `chat: ${step}`,
      (run: StepRun) => runRequest(run, step, createChat(run.id)),
    ]),
  ),
  ...Object.fromEntries(
    REQUEST_STEPS.filter(
      step => step !== 'first-byte' && step !== 'mid-stream',
    ).map(step => [
      `booking: ${step}`,
      (run: StepRun) => runRequest(run, step, createBooking(run.id)),
    ]),
  ),
  'apply: sent': run => runApply(run, async () => {}),
  'apply: appended': run => runApply(run, () => sleep(10)),
  'apply: committed': run =>
    runApply(run, version => waitUntilVisible(run, version)),
  'apply: acknowledged': async run => {
    await run.scenario.apply({}, 'a1');
    return runApply(run, async (_version, applied) => void (await applied));
  },
  'repair: begun': run => runRepair(run, false),
  'repair: done': run => runRepair(run, true),
  'leave: announced': run => runEndpointShutdown(run),
  'announce: first': run => runEndpointRestart(run),
};

function createChat(id: string): CallerRequest {
  return {key: id, content: `question ${id}`, session: id, stream: true};
}

function createBooking(id: string): CallerRequest {
  return {
    key: id,
    content: `{"door":"${id}"}`,
    service: 'booking/bookings',
    deadlineMs: BOOKING_DEADLINE_MS,
  };
}

async function runRequest(
  run: StepRun,
  step: RequestStep,
  request: CallerRequest,
): Promise<string[]> {
  const {scenario, gateway, inject} = run;
  const {system} = scenario;
  const endpoints = request.service === undefined ? ENGINES : SERVICES;
  const address = system.getCallerAddress(gateway);
  await using caller = scenario.createCaller();
  const first = async () => caller.sendOnce(request, address);
  if (step === 'before admit') {
    await inject(endpoints[0] ?? '');
    return retryUntilFinal(run, request, await first());
  }
  if (step === 'settled') {
    const record = await first();
    await inject(endpoints[0] ?? '');
    return retryUntilFinal(run, request, {...record, outcome: 'no-reply'});
  }
  if (step === 'admitted') {
    const release = system.proxy.hold(
      (from, to) => from === gateway && endpoints.includes(to),
    );
    const sent = first();
    await waitFor(
      'the proxy holds a request',
      async () => system.proxy.countHeld() > 0,
    );
    await inject(endpoints[0] ?? '');
    release();
    return retryUntilFinal(run, request, await sent);
  }
  await Promise.all(endpoints.map(name => system.hold(name, step)));
  const sent = first();
  const endpoint = await findHoldingEndpoint(scenario, endpoints);
  await inject(endpoint);
  const released = endpoints.map(name =>
    system.hold(name, null).catch(() => {}),
  );
  // A frozen endpoint handles the release only when it resumes.
  void Promise.all(released);
  return retryUntilFinal(run, request, await sent);
}

async function findHoldingEndpoint(
  scenario: Scenario,
  names: readonly string[],
): Promise<string> {
  let endpoint = '';
  await waitFor('an endpoint holds a request', async () => {
    for (const name of names) {
      if ((await scenario.system.countHeld(name)) > 0) endpoint = name;
    }
    return endpoint !== '';
  });
  return endpoint;
}

/** Retries with the same key until the request has a final outcome. */
async function retryUntilFinal(
  run: StepRun,
  request: CallerRequest,
  first: CallRecord,
): Promise<string[]> {
  await using caller = run.scenario.createCaller();
  const deadline = Date.now() + COMPLETION_TIMEOUT_MS;
  let record = first;
  while (Date.now() < deadline) {
    if (record.outcome === 'answered') return [];
    // A correct final outcome: the answer is lost, so that the result is
    // unknown, and the call must not be repeated.
    const lost = request.service !== undefined && record.code === 'answer-lost';
    if (lost && record.outcome === 'unknown') return [];
    await sleep(RETRY_BACKOFF_MS);
    record = await caller.sendOnce(request);
  }
  return [
    `request did not complete: last outcome ${record.outcome} (${record.code})`,
  ];
}

async function runApply(
  run: StepRun,
  waitForStep: (version: number, applied: Promise<unknown>) => Promise<void>,
): Promise<string[]> {
  const {scenario} = run;
  const through = 'a1';
  const version = scenario.lastVersion + 1;
  const applied = scenario.applyNext(through);
  await waitForStep(version, applied);
  await run.inject('e1');
  await applied;
  const deadline = Date.now() + APPLY_TIMEOUT_MS;
  let output = '';
  while (Date.now() < deadline) {
    for (const host of ['a2', 'a3', 'a1']) {
      const again = await scenario.applyAgain({}, host);
      output = again.output + again.errors;
      if (again.code === 0 && JSON.parse(again.output).inForce === true) {
        scenario.recordInForce();
        return [];
      }
    }
  }
  return [`declaration not confirmed in force: last reply ${output}`];
}

async function waitUntilVisible(run: StepRun, version: number): Promise<void> {
  await waitFor('a daemon reports the new declaration', async () =>
    run.scenario.configurations
      .slice(-20)
      .some(each => each.version === version),
  );
}

async function runRepair(run: StepRun, done: boolean): Promise<string[]> {
  const {scenario} = run;
  const {system} = scenario;
  await scenario.loseDisk('a1');
  system.daemons.get('a1')?.start();
  if (done) {
    await system.waitForHost('a1');
    await scenario.waitForRepair();
  }
  await run.inject('e1');
  const request = createChat(run.id);
  await using caller = scenario.createCaller();
  return retryUntilFinal(run, request, await caller.sendOnce(request));
}

async function runEndpointShutdown(run: StepRun): Promise<string[]> {
  const engine = run.scenario.system.endpoints.get('e2');
  const atMs = Date.now();
  const stopping = engine?.stop();
  await run.inject('e1');
  const request = createChat(run.id);
  await using caller = run.scenario.createCaller();
  const violations = await retryUntilFinal(
    run,
    request,
    await caller.sendOnce(request),
  );
  await stopping;
  run.scenario.drains.push({name: 'e2', atMs, untilMs: Date.now()});
  engine?.start();
  return violations;
}

async function runEndpointRestart(run: StepRun): Promise<string[]> {
  const engine = run.scenario.system.endpoints.get('e3');
  await engine?.kill();
  engine?.start();
  await run.inject('e1');
  const request = createChat(run.id);
  await using caller = run.scenario.createCaller();
  return retryUntilFinal(run, request, await caller.sendOnce(request));
}
