/**
 * A stand-in for a model engine: streams deterministic tokens, can resume at an
 * offset and records every run. `GET /runs` lists the runs.
 */
import {randomBytes} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import polka from 'polka';
import {orderSchema} from '../../src/protocol/order.ts';
import type {Announcement} from '../../src/protocol/endpoint.ts';
import {createExpectedWords} from '../records/expected_answer.ts';
import {startAnnouncer} from './announcer.ts';
import {OrderHandler} from './order_handler.ts';
import {RunRecorder} from './run_recorder.ts';
import {readStandInOptions} from './stand_in_options.ts';
import {StepGate} from './step_gate.ts';

interface Body {
  model: string;
  messages: Array<{content: unknown}>;
  max_tokens?: number;
}

const options = readStandInOptions();
const recorder = new RunRecorder(options.recordFile);
const gate = new StepGate();
const orders = new OrderHandler(options);
const incarnation = randomBytes(6).toString('hex');
let leaving = false;
let running = 0;

async function handleCompletion(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = JSON.parse(await readText(request)) as Body;
  const header = (name: string) => String(request.headers[name] ?? '');
  const run = recorder.begin({
    kind: 'completion',
    endpoint: options.name,
    requestId: header('x-request-id'),
    attemptId: header('x-attempt-id'),
    customer: header('x-customer'),
    version: body.model,
    key: '',
    startedAtMs: Date.now(),
    finished: false,
    answer: '',
  });
  running++;
  response.on('close', () => running--);
  await gate.waitAt('dispatched');
  if (options.failing.includes(body.model)) {
    response.writeHead(500).end();
    return;
  }
  response.writeHead(200, {'content-type': 'text/event-stream'});
  await sleep(options.firstTokenMs);
  const resumeOffset = Number(header('x-resume-offset') || 0);
  const words = createAnswer(body);
  for (let offset = resumeOffset; offset < words.length; offset++) {
    if (response.destroyed) return;
    writeEvent(response, {
      offset,
      choices: [{index: 0, delta: {content: words[offset]}}],
    });
    await sleep(options.tokenMs);
    if (offset === 0) await gate.waitAt('first-byte');
    if (offset === Math.floor(words.length / 2))
      await gate.waitAt('mid-stream');
  }
  await gate.waitAt('answered');
  if (response.destroyed) return;
  recorder.finish(run);
  writeEvent(response, {
    choices: [{index: 0, delta: {}, finish_reason: 'stop'}],
    usage: {
      prompt_tokens: Math.ceil(JSON.stringify(body.messages).length / 4),
      completion_tokens: words.length,
    },
  });
  response.end('data: [DONE]\n\n');
}

/** Creates the words of the answer, the same on every engine. */
function createAnswer(body: Body): string[] {
  const count = Math.min(body.max_tokens ?? options.tokens, options.tokens);
  const prompt = String(body.messages.at(-1)?.content);
  return createExpectedWords(prompt, body.model, count);
}

function writeEvent(response: ServerResponse, event: object): void {
  response.write(`data: ${JSON.stringify(event)}\n\n`);
}

async function readText(request: IncomingMessage): Promise<string> {
  let text = '';
  for await (const part of request) text += String(part);
  return text;
}

function describe(): Announcement {
  return {
    name: options.name,
    incarnation,
    address: options.advertise ?? options.address,
    region: options.region,
    dataCentre: options.dataCentre,
    pool: options.pool,
    versions: [...orders.versions],
    slots: options.slots,
    versionSlots: options.versionSlots,
    checksFencing: options.checksFencing,
    resumes: options.resumes,
    leaving,
    load: {running, waiting: 0, ageMs: 0},
  };
}

const [host, port] = options.address.split(':');
polka()
  .post('/v1/chat/completions', (request, response) => {
    handleCompletion(request, response).catch(() => response.destroy());
  })
  .post('/v1/orders', async (request, response) => {
    const order = orderSchema.parse(JSON.parse(await readText(request)));
    response.end(JSON.stringify(orders.handle(order)));
  })
  .get('/orders', (_request, response) => {
    response.end(JSON.stringify(orders.handledOrders));
  })
  .get('/runs', (_request, response) => {
    response.end(JSON.stringify(recorder.runs));
  })
  .get('/held', gate.handleHeld)
  .post('/hold', gate.handleHold)
  .listen(Number(port), host, () => {
    const announcer = startAnnouncer({...options, describe});
    process.once('SIGTERM', () => {
      leaving = true;
      void announcer.announceNow();
      setInterval(() => {
        if (running === 0) process.exit(0);
      }, 100);
    });
  });
