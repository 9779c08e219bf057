/**
 * Relays the events of a stream to the caller as they arrive.
 *
 * Only whole events are relayed. A stream that breaks off can be resumed at
 * another endpoint after the last event sent to the caller; the caller then has
 * the headers of the first answer.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {EndedAnswerError, unboundedMemory} from './answer_budget.ts';
import type {CallerSink, EndpointAnswer, Header} from './call.ts';
import type {CallRun} from './call_run.ts';
import {
  EventSplitter,
  MAX_EVENT_BYTES,
  type StreamEvent,
} from './event_splitter.ts';
import type {AttemptResult} from './run_attempt.ts';

/** Minimum pause, in ms, after which a stream counts as stalled. */
export const STALL_MIN_MS = 1_200;

/** A pause longer than the route's gap objective by this factor is a stall. */
const STALL_FACTOR = 1.5;

/** Framing headers, which the gateway replaces by its own. */
export const FRAMING_HEADERS: ReadonlySet<string> = new Set([
  'content-length',
  'transfer-encoding',
]);

export interface RelayOptions {
  readonly clock: Clock;
  readonly sink: CallerSink;
  readonly endpoint: Pick<EndpointEntry, 'id'>;
  /** Called on progress, with the timeout for the next piece in ms. */
  readonly onProgress: (ms: number) => void;
}

/** Relays the part of a stream that one endpoint sends. */
export async function relayEvents(
  {clock, sink, endpoint, onProgress}: RelayOptions,
  run: CallRun,
  answer: EndpointAnswer,
): Promise<AttemptResult> {
  const {route, isRepeatable} = run.admitted;
  const stallMs = Math.max(STALL_MIN_MS, route.gapObjectiveMs * STALL_FACTOR);
  const splitter = new EventSplitter();
  const {memory = unboundedMemory} = answer;
  const createFailure = (
    reason: string,
    isDisconnected: boolean,
  ): AttemptResult =>
    isRepeatable || !sink.hasBegun
      ? {type: 'broken', isDisconnected, reason}
      : {type: 'cut', isDisconnected, reason};
  // Events without content do not begin the answer, so that another endpoint
  // can still do so.
  let buffered: Buffer[] = [];
  let bufferedBytes = 0;
  let hasFailedToRead = true;
  let hasRelayed = false;
  try {
    for await (const bytes of answer.body) {
      const events = splitter.push(bytes).filter(event => run.isNext(event));
      memory.keep(splitter.capacity + bufferedBytes);
      if (events.length === 0) continue;
      const hasProgress = events.some(({hasContent}) => hasContent);
      const pieces = events.map(event => event.bytes);
      if (!hasProgress && !sink.hasBegun) {
        buffered.push(...pieces);
        for (const {length} of pieces) bufferedBytes += length;
        if (bufferedBytes <= MAX_EVENT_BYTES) continue;
        hasFailedToRead = false;
        throw new Error('Could not read a stream: it has only comments');
      }
      hasRelayed ||= hasProgress;
      if (hasProgress)
        run.recordOutput(clock.monotonic() - run.call.receivedAt);
      if (!sink.hasBegun) sink.begin(answer.status, dropFraming(answer));
      const drained = sink.write(Buffer.concat([...buffered, ...pieces]));
      buffered = [];
      bufferedBytes = 0;
      const lastId = findLastId(events);
      if (lastId !== null) run.recordLastEvent(lastId);
      if (hasProgress) onProgress(stallMs);
      await drained;
      if (hasProgress) onProgress(stallMs);
    }
  } catch (error) {
    answer.cancel();
    const isDisconnected =
      hasFailedToRead && !(error instanceof EndedAnswerError);
    return createFailure((error as Error).message, isDisconnected);
  } finally {
    memory.release();
  }
  if (splitter.hasPartialEvent)
    return createFailure('the stream ended within an event', true);
  if (!hasRelayed) {
    // An endpoint that crashes may end a stream without a length this way.
    if (!sink.hasBegun || !answer.isDelimited) {
      const reason = 'the stream ended without an event';
      return createFailure(reason, !answer.isDelimited);
    }
    if (!run.confirmEnd(endpoint)) return {type: 'ended'};
  }
  sink.end();
  return {type: 'delivered', status: answer.status, isGood: true};
}

/** Returns the last event id; comments and some events have none. */
function findLastId(events: readonly StreamEvent[]): string | null {
  const ids = events.flatMap(({id}) => (id === null ? [] : [id]));
  return ids.at(-1) ?? null;
}

function dropFraming({headers}: EndpointAnswer): Header[] {
  return headers.filter(([name]) => !FRAMING_HEADERS.has(name.toLowerCase()));
}
