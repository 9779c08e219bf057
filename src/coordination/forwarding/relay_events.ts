/**
 * Passes the events of a stream on as they come.
 *
 * Only whole events are passed on. A stream that breaks off can go on at
 * another endpoint after the last event that the caller has; it then keeps the
 * headers of the first.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {CallerSink, EndpointAnswer, Header} from './call.ts';
import type {CallRun} from './call_run.ts';
import {
  EventSplitter,
  MAX_EVENT_BYTES,
  type StreamEvent,
} from './event_splitter.ts';
import type {AttemptResult} from './run_attempt.ts';

/** The shortest silence after which a stream goes on elsewhere. */
export const STALL_MIN_MS = 1_200;

/** A longer pause than the objective of the route counts as a stall. */
const STALL_FACTOR = 1.5;

/** Headers that tell where an answer ends, which the gateway frames anew. */
export const FRAMING_HEADERS: ReadonlySet<string> = new Set([
  'content-length',
  'transfer-encoding',
]);

export interface RelayOptions {
  readonly clock: Clock;
  readonly sink: CallerSink;
  /** Tells that the answer goes on, and how long the next piece may take. */
  readonly onProgress: (ms: number) => void;
}

/** Relays one endpoint's part of a stream. */
export async function relayEvents(
  {clock, sink, onProgress}: RelayOptions,
  run: CallRun,
  answer: EndpointAnswer,
): Promise<AttemptResult> {
  const {route, isRepeatable} = run.admitted;
  const stallMs = Math.max(STALL_MIN_MS, route.gapObjectiveMs * STALL_FACTOR);
  const splitter = new EventSplitter();
  const createFailure = (reason: string): AttemptResult =>
    isRepeatable || !sink.hasBegun
      ? {type: 'broken', isUnreachable: false, reason}
      : {type: 'cut', reason};
  // What says nothing yet does not begin the answer: another may still do.
  let buffered: Buffer[] = [];
  let bufferedBytes = 0;
  try {
    for await (const bytes of answer.body) {
      const events = splitter.push(bytes).filter(event => isNext(run, event));
      if (events.length === 0) continue;
      const hasProgress = events.some(({hasContent}) => hasContent);
      const pieces = events.map(event => event.bytes);
      if (!hasProgress && !sink.hasBegun) {
        buffered.push(...pieces);
        for (const {length} of pieces) bufferedBytes += length;
        if (bufferedBytes <= MAX_EVENT_BYTES) continue;
        throw new Error('Could not read a stream: it has only comments');
      }
      if (hasProgress)
        run.recordFirstOutput(clock.monotonic() - run.call.receivedAt);
      if (!sink.hasBegun) sink.begin(answer.status, dropFraming(answer));
      const drained = sink.write(Buffer.concat([...buffered, ...pieces]));
      buffered = [];
      run.lastEventId = findLastId(events) ?? run.lastEventId;
      if (hasProgress) onProgress(stallMs);
      await drained;
      if (hasProgress) onProgress(stallMs);
    }
  } catch (error) {
    answer.cancel();
    return createFailure((error as Error).message);
  }
  if (splitter.hasPartialEvent)
    return createFailure('the stream ended within an event');
  if (!sink.hasBegun) sink.begin(answer.status, dropFraming(answer));
  if (buffered.length > 0) await sink.write(Buffer.concat(buffered));
  sink.end();
  return {type: 'delivered', status: answer.status, isGood: true};
}

/** The last id among events; comments between them have none. */
function findLastId(events: readonly StreamEvent[]): string | null {
  const ids = events.flatMap(({id}) => (id === null ? [] : [id]));
  return ids.at(-1) ?? null;
}

/** Whether an event follows on those that the caller has. */
function isNext({lastEventId}: CallRun, {id}: StreamEvent): boolean {
  if (lastEventId === null || id === null) return true;
  return Number(id) > Number(lastEventId);
}

function dropFraming({headers}: EndpointAnswer): Header[] {
  return headers.filter(([name]) => !FRAMING_HEADERS.has(name.toLowerCase()));
}
