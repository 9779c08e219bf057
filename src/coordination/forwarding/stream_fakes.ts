/** Fakes for tests of streams whose endpoints fall silent. */
import type {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {AttemptOptions, AttemptOutcome, Call} from './call.ts';
import {createAnswer, waitForAbort} from './fake_answers.ts';
import {
  createEndpoint,
  createFollowReply,
  createRoute,
  FakeGateway,
} from './forwarding_fakes.ts';

/** The events of a stream, and the interval between them. */
export const STREAM_EVENTS = 40;
export const EVENT_INTERVAL_MS = 100;

/** A route of streams that may be resumed. */
export const STREAM_ROUTE = createRoute({
  repeatability: 'stream',
  resumable: true,
  maxAttempts: 3,
  timeoutMs: 25_000,
  objectiveMs: 2_000,
});

export interface FakeStream {
  readonly call: Call;
  readonly options: AttemptOptions;
  readonly clock: SimulatedClock;
  /** When its endpoint sends nothing; never by default. */
  readonly silence?: readonly [fromMs: number, toMs: number];
}

/** Streams the rest of an answer. */
export function sendStream({
  call,
  options,
  clock,
  silence: [fromMs, toMs] = [Infinity, Infinity],
}: FakeStream): AttemptOutcome {
  if (!options.mayBegin()) return {type: 'withdrawn'};
  const answer = createAnswer(call, options, {isStream: true});
  if (answer.type !== 'answer') return answer;
  const first = Number(options.lastEventId ?? 0) + 1;
  async function* sendEvents() {
    for (let event = first; event <= STREAM_EVENTS; event++) {
      const now = clock.monotonic();
      if (now >= fromMs && now < toMs) {
        await clock.sleep(toMs - now, options.signal);
      }
      if (options.signal.aborted) throw new Error('aborted');
      yield Buffer.from(`id: ${event}\ndata: a\n\n`);
      await clock.sleep(EVENT_INTERVAL_MS, options.signal);
    }
  }
  return {...answer, answer: {...answer.answer, body: sendEvents()}};
}

export interface PathlessGateway {
  readonly gateway: FakeGateway;
  /** Counts the requests that the other gateway has answered. */
  readonly countRelayed: () => number;
}

/**
 * Creates a gateway that reaches none of its endpoints, beside another one that
 * answers what is relayed to it.
 */
export function createPathlessGateway(ids: readonly string[]): PathlessGateway {
  let relayed = 0;
  const gateway = new FakeGateway({
    route: STREAM_ROUTE,
    endpoints: ids.map(id => createEndpoint(id)),
    behave: async (_call, {signal}) => {
      await waitForAbort(signal).catch(() => {});
      return {type: 'aborted'};
    },
    probe: async () => false,
    sendRelayed: async call => {
      relayed++;
      return createAnswer(call, {signal: call.signal} as AttemptOptions);
    },
  });
  gateway.view.apply(
    createFollowReply({
      complete: false,
      openGateways: ['g', 'other'].map(address => ({
        address,
        region: 'r',
        dataCentre: 'a',
        open: true,
      })),
    }),
  );
  return {gateway, countRelayed: () => relayed};
}
