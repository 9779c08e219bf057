/** Probes of a simulated gateway, and requests that it relays to another one. */
import type {Clock} from '../../protocol/clock.ts';
import type {AttemptOutcome, Call} from '../forwarding/call.ts';
import {PLAIN_ANSWER} from '../forwarding/fake_answers.ts';
import {RecordingSink} from '../forwarding/recording_sink_fake.ts';
import {ELSEWHERE_HEADER} from '../forwarding/refuse.ts';
import type {FakeGatewayOptions} from '../forwarding/forwarding_fakes.ts';
import type {RelayOptions} from '../reach/call_relay.ts';
import type {SimulatedEngines} from './simulated_engines.ts';
import type {SimulatedGateway} from './simulated_gateway.ts';

/** The time of a message between two gateways or to an endpoint, in ms. */
const HOP_MS = 2;

export interface CreateRelayOptions {
  readonly clock: Clock;
  /** `null` for endpoints that always accept connections. */
  readonly engines: SimulatedEngines | null;
  readonly getSelf: () => SimulatedGateway;
  readonly findGateway: (address: string) => SimulatedGateway | undefined;
}

/** Creates the options of a gateway that concern its links to others. */
export function createRelayOptions({
  clock,
  engines,
  getSelf,
  findGateway,
}: CreateRelayOptions): Pick<FakeGatewayOptions, 'probe' | 'sendRelayed'> {
  return {
    probe: async (address, timeoutMs) => {
      const {linkFault} = getSelf();
      await clock.sleep(linkFault === 'hang' ? timeoutMs : HOP_MS);
      return linkFault === null && (engines?.isListening({address}) ?? true);
    },
    sendRelayed: (call, options) =>
      relayToGateway(findGateway(options.address), {clock, call, options}),
  };
}

interface RelayedRequest {
  readonly clock: Clock;
  readonly call: Call;
  readonly options: RelayOptions;
}

/** Lets another gateway serve a request. */
async function relayToGateway(
  target: SimulatedGateway | undefined,
  {clock, call, options}: RelayedRequest,
): Promise<AttemptOutcome> {
  const {signal, budgetMs, runs} = options;
  await clock.sleep(HOP_MS, signal);
  if (!target) return {type: 'not-sent', reason: 'ECONNREFUSED'};
  const sink = new RecordingSink();
  const receivedAt = clock.monotonic();
  const facts = {...call.facts, budgetMs};
  const relayed = {...call, facts, relayed: {runs}, receivedAt, signal};
  await target.fake.forwarder.forward(relayed, sink);
  await clock.sleep(HOP_MS, signal);
  if (signal.aborted) return {type: 'aborted'};
  if (sink.outcome !== 'whole') return {type: 'broken', reason: 'closed'};
  const {status, headers, text} = sink;
  if (headers.some(([name]) => name === ELSEWHERE_HEADER)) {
    return {type: 'not-run', status, facts: {...PLAIN_ANSWER, isNotRun: true}};
  }
  async function* readBody() {
    yield Buffer.from(text);
  }
  return {
    type: 'answer',
    answer: {
      status,
      headers,
      facts: PLAIN_ANSWER,
      isDelimited: true,
      body: readBody(),
      cancel: () => {},
    },
  };
}
