/** Delivers the answer of an endpoint to the caller. */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import {EndedAnswerError, unboundedMemory} from './answer_budget.ts';
import type {EndpointAnswer, Header} from './call.ts';
import type {CallRun} from './call_run.ts';
import {MAX_HELD_BYTES} from './held_answer.ts';
import {relayEvents} from './relay_events.ts';
import type {AttemptResult, RunAttemptOptions} from './run_attempt.ts';

interface DeliverOptions extends Pick<RunAttemptOptions, 'clock' | 'sink'> {
  readonly endpoint: Pick<EndpointEntry, 'id'>;
}

/** Delivers a verified answer to the caller. */
export async function deliverAnswer(
  options: DeliverOptions,
  run: CallRun,
  answer: EndpointAnswer,
  onProgress: (ms: number) => void,
): Promise<AttemptResult> {
  const {clock, sink, endpoint} = options;
  const isGood = answer.status < 500;
  if (isEventStream(answer.headers) && answer.status === 200) {
    return relayEvents({clock, sink, endpoint, onProgress}, run, answer);
  }
  if (sink.hasBegun) {
    // A stream in progress can only be resumed by another stream.
    answer.cancel();
    return {
      type: 'broken',
      isDisconnected: false,
      reason: `status ${answer.status}`,
    };
  }
  const body = await readWhole(answer);
  if (!body.ok) return {type: 'broken', ...body.error};
  run.recordOutput(clock.monotonic() - run.call.receivedAt);
  const {status, headers} = answer;
  if (!isGood && run.admitted.isRepeatable) {
    return {type: 'failed', answer: {status, headers, body: body.value}};
  }
  sink.answer(status, headers, body.value);
  return {type: 'delivered', status, isGood};
}

/** Reads a whole body; fails when it breaks off or is too large. */
async function readWhole(
  answer: EndpointAnswer,
): Promise<Outcome<Buffer, {isDisconnected: boolean; reason: string}>> {
  const {memory = unboundedMemory} = answer;
  const pieces: Uint8Array[] = [];
  let size = 0;
  try {
    for await (const piece of answer.body) {
      pieces.push(piece);
      size += piece.length;
      if (size > MAX_HELD_BYTES) {
        answer.cancel();
        return fail({isDisconnected: false, reason: 'the answer is too large'});
      }
      memory.keep(size);
    }
  } catch (error) {
    // The caller reports a truncated body as the result of the attempt.
    return error instanceof EndedAnswerError
      ? fail({isDisconnected: false, reason: error.message})
      : fail({isDisconnected: true, reason: 'the answer broke off'});
  } finally {
    memory.release();
  }
  return succeed(Buffer.concat(pieces));
}

function isEventStream(headers: readonly Header[]): boolean {
  return headers.some(
    ([name, value]) =>
      name.toLowerCase() === 'content-type' &&
      value.toLowerCase().startsWith('text/event-stream'),
  );
}
