/**
 * Sends completions and service calls to endpoints over HTTP.
 *
 * A call that may not be repeated uses a new connection, since a pooled one
 * may have become unresponsive.
 */
import {Client} from 'undici';
import {systemClock, type Clock} from '../../protocol/clock.ts';
import type {AnswerEvent} from '../../protocol/completion.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {
  AttemptError,
  CompletionAttempt,
  Dispatcher,
  ServiceAnswer,
  ServiceAttempt,
} from '../../coordination/requests/dispatch.ts';
import {TOKEN_GAP_TIMEOUT_MS} from '../../coordination/requests/request_context.ts';
import {CONNECT_TIMEOUT_MS, EndpointPools} from './endpoint_pools.ts';
import {AnswerReader} from './answer_reader.ts';
import {sendCall, type CallResponse} from './send_call.ts';

/** Maximum size of a plain service's answer. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

export interface EngineClientOptions {
  /** The system clock by default. */
  readonly clock?: Pick<Clock, 'monotonic'>;
  /** Timeout for the next byte of a stream. */
  readonly tokenGapMs?: number;
}

/** Creates a dispatcher with its own connection pools. */
export function createEngineClient(
  options: EngineClientOptions = {},
): Dispatcher & AsyncDisposable {
  const {clock = systemClock, tokenGapMs = TOKEN_GAP_TIMEOUT_MS} = options;
  const pools = new EndpointPools(clock);
  return {
    openCompletion: (attempt, signal) =>
      streamCompletion({pools, attempt, signal, tokenGapMs}),
    callService: (attempt, signal) =>
      attempt.repeatable
        ? callOnPool(pools, attempt, signal)
        : callOnFreshConnection(attempt, signal),
    [Symbol.asyncDispose]: () => pools[Symbol.asyncDispose](),
  };
}

interface StreamOptions {
  readonly pools: EndpointPools;
  readonly attempt: CompletionAttempt;
  readonly signal: AbortSignal;
  readonly tokenGapMs: number;
}

async function* streamCompletion(
  options: StreamOptions,
): AsyncGenerator<Outcome<AnswerEvent, AttemptError>, void> {
  const {pools, attempt, signal, tokenGapMs} = options;
  const {address} = attempt;
  const pool = pools.get(address);
  const sent = await sendCall({
    dispatcher: pool,
    address,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: describeCompletionHeaders(attempt),
    body: createCompletionBody(attempt),
    signal,
    deadlineMs: attempt.deadlineMs,
    silenceMs: tokenGapMs,
    onSilence: () => pools.retire(address, pool),
    decideStall: attempt.decideStall,
  });
  if (!sent.ok) {
    yield sent;
    return;
  }
  const response = sent.value;
  if (response.status !== 200) {
    response.close({drain: true});
    yield fail(classifyStatus(response));
    return;
  }
  const reader = new AnswerReader(attempt.attemptId, attempt.resumeOffset);
  try {
    for await (const bytes of response.readBody()) {
      const events = bytes.ok ? reader.read(bytes.value) : [bytes];
      for (const event of events) yield event;
      if (!bytes.ok || reader.isDone) return;
    }
    yield fail({kind: 'lost', message: 'the stream ended before its answer'});
  } finally {
    response.close({drain: reader.isDone});
  }
}

function describeCompletionHeaders(
  attempt: CompletionAttempt,
): Record<string, string> {
  return {
    'content-type': 'application/json',
    'x-request-id': attempt.requestId,
    'x-attempt-id': attempt.attemptId,
    'x-customer': attempt.customer,
    'x-priority': String(attempt.priority),
    'x-deadline-ms': String(Math.ceil(attempt.deadlineMs)),
    'x-resume-offset': String(attempt.resumeOffset),
  };
}

function createCompletionBody(attempt: CompletionAttempt): string {
  return JSON.stringify({
    ...attempt.request,
    model: attempt.version,
    stream: true,
    stream_options: {include_usage: true},
    ...(attempt.resumeOffset > 0 ? {resume_text: attempt.resumeText} : {}),
  });
}

async function callOnPool(
  pools: EndpointPools,
  attempt: ServiceAttempt,
  signal: AbortSignal,
): Promise<Outcome<ServiceAnswer, AttemptError>> {
  const {address} = attempt;
  const pool = pools.get(address);
  return callService(attempt, {
    dispatcher: pool,
    signal,
    onSilence: () => pools.retire(address, pool),
  });
}

async function callOnFreshConnection(
  attempt: ServiceAttempt,
  signal: AbortSignal,
): Promise<Outcome<ServiceAnswer, AttemptError>> {
  const client = new Client(`http://${attempt.address}`, {
    connect: {timeout: CONNECT_TIMEOUT_MS},
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  try {
    const onSilence = () => {};
    return await callService(attempt, {dispatcher: client, signal, onSilence});
  } finally {
    await client.destroy();
  }
}

type CallConnection = Pick<
  Parameters<typeof sendCall>[0],
  'dispatcher' | 'signal' | 'onSilence'
>;

async function callService(
  attempt: ServiceAttempt,
  connection: CallConnection,
): Promise<Outcome<ServiceAnswer, AttemptError>> {
  const sent = await sendCall({
    ...connection,
    address: attempt.address,
    method: attempt.method,
    path: attempt.path,
    headers: {
      ...(attempt.contentType ? {'content-type': attempt.contentType} : {}),
      'x-request-id': attempt.requestId,
      'x-attempt-id': attempt.attemptId,
      'x-customer': attempt.customer,
      'x-deadline-ms': String(Math.ceil(attempt.deadlineMs)),
      'idempotency-key': attempt.key,
    },
    body: attempt.body.length > 0 ? attempt.body : null,
    deadlineMs: attempt.deadlineMs,
    silenceMs: attempt.silenceMs,
    decideStall: attempt.decideStall,
  });
  if (!sent.ok) return sent;
  const response = sent.value;
  if (response.headers['x-not-run'] === 'true') {
    response.close({drain: true});
    return fail({kind: 'refused', message: 'the service refused the call'});
  }
  try {
    return await readServiceAnswer(response);
  } finally {
    response.close();
  }
}

async function readServiceAnswer(
  response: CallResponse,
): Promise<Outcome<ServiceAnswer, AttemptError>> {
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of response.readBody()) {
    if (!part.ok) return part;
    bytes += part.value.length;
    if (bytes > MAX_ANSWER_BYTES) {
      return fail({kind: 'lost', message: 'the answer is too large'});
    }
    parts.push(part.value);
  }
  const contentType = response.headers['content-type'];
  return succeed({
    status: response.status,
    contentType: String(contentType ?? 'application/octet-stream'),
    body: Buffer.concat(parts),
  });
}

function classifyStatus(response: CallResponse): AttemptError {
  const refused =
    response.status === 429 || response.headers['x-not-run'] === 'true';
  const message = `the endpoint answered with status ${response.status}`;
  return {kind: refused ? 'refused' : 'lost', message};
}
