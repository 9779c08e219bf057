/**
 * A stand-in for a service without a model, such as a booking application:
 * answers each call with a serial number and records it. `GET /runs` lists the
 * calls.
 */
import {randomBytes} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import polka from 'polka';
import {startAnnouncer} from './announcer.ts';
import {RunRecorder} from './run_recorder.ts';
import {readStandInOptions} from './stand_in_options.ts';
import {StepGate} from './step_gate.ts';

const options = readStandInOptions();
const recorder = new RunRecorder(options.recordFile);
const gate = new StepGate();
const incarnation = randomBytes(6).toString('hex');
let leaving = false;
let running = 0;

async function handleCall(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  for await (const _part of request);
  const header = (name: string) => String(request.headers[name] ?? '');
  const serial = recorder.runs.length + 1;
  const answer = JSON.stringify({
    serial: `${options.name}-${incarnation}-${serial}`,
  });
  const run = recorder.begin({
    kind: 'call',
    endpoint: options.name,
    requestId: header('x-request-id'),
    attemptId: header('x-attempt-id'),
    customer: header('x-customer'),
    version: '',
    key: header('idempotency-key'),
    startedAtMs: Date.now(),
    finished: false,
    answer,
  });
  running++;
  response.on('close', () => running--);
  await gate.waitAt('dispatched');
  recorder.finish(run);
  await gate.waitAt('answered');
  response.writeHead(200, {'content-type': 'application/json'});
  response.end(answer);
}

const [host, port] = options.address.split(':');
polka()
  .get('/runs', (_request, response) => {
    response.end(JSON.stringify(recorder.runs));
  })
  .get('/held', gate.handleHeld)
  .post('/hold', gate.handleHold)
  .all('*', (request, response) => {
    handleCall(request, response).catch(() => response.destroy());
  })
  .listen(Number(port), host, () => {
    const announcer = startAnnouncer({
      ...options,
      describe: () => ({
        name: options.name,
        incarnation,
        address: options.advertise ?? options.address,
        region: options.region,
        dataCentre: options.dataCentre,
        pool: options.pool,
        versions: [],
        slots: options.slots,
        versionSlots: 0,
        checksFencing: false,
        resumes: false,
        leaving,
        load: {running, waiting: 0, ageMs: 0},
      }),
    });
    process.once('SIGTERM', () => {
      leaving = true;
      void announcer.announceNow();
      setInterval(() => {
        if (running === 0) process.exit(0);
      }, 500);
    });
  });
