/**
 * Sends requests to other gateways, and tells theirs from those of callers.
 *
 * The proof is a digest over the request with the daemons' secret: it holds for
 * this request only, so that a header which gets further gives nothing away.
 */
import {createHmac} from 'node:crypto';
import type {
  AnswerFacts,
  AttemptOutcome,
  Call,
  Header,
  RelayedCall,
} from '../../coordination/forwarding/call.ts';
import {ELSEWHERE_HEADER} from '../../coordination/forwarding/refuse.ts';
import type {RelayOptions} from '../../coordination/reach/call_relay.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import {equalSecrets} from '../peers/peer_server.ts';
import type {FindHeader, RelayCodec} from './call_codec.ts';
import {EndpointClient, type SendOptions} from './endpoint_client.ts';

/** Attempts that may have run, then the proof. */
const RELAYED_HEADER = 'X-Parsleypond-Relayed';

const RELAYED_VALUE = /^(\d{1,4}) ([0-9a-f]{64})$/;

/** What an answer of another gateway tells this one: nothing of endpoints. */
const NO_FACTS: Omit<AnswerFacts, 'isNotRun'> = {
  attemptId: null,
  isSigned: false,
  load: null,
  confidence: null,
  limitPerSecond: null,
  isLeaving: false,
  quietMs: null,
};

export interface GatewayClientOptions {
  readonly codec: RelayCodec;
  /** The secret shared by all daemons. */
  readonly secret: string;
}

/** Manages the connections of a gateway to other gateways. */
export class GatewayClient implements AsyncDisposable {
  private readonly client: EndpointClient<RelayOptions & SendOptions>;

  constructor({codec, secret}: GatewayClientOptions) {
    this.client = new EndpointClient({
      codec: {
        gatewayOnlyAnswerHeaders: new Set(),
        encodeAttempt: (call, {budgetMs, runs}) => [
          ...codec.encodeRelayed(call, budgetMs),
          [RELAYED_HEADER, `${runs} ${createProof(secret, {call, runs})}`],
        ],
        decodeAnswer: (_status, find) => ({
          ...NO_FACTS,
          isNotRun: find(ELSEWHERE_HEADER) !== null,
        }),
      },
    });
  }

  /** Sends a request; resolves once the headers of its answer arrived. */
  send(call: Call, options: RelayOptions): Promise<AttemptOutcome> {
    const endpoint = {address: options.address};
    return this.client.send(call, {...options, endpoint});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.client[Symbol.asyncDispose]();
  }
}

/**
 * Reads what another gateway tells of a request; `null` if it is a caller's. Fails
 * without a valid proof.
 */
export function readRelayed(
  find: FindHeader,
  {secret, ...call}: SignedCall & {readonly secret: string | undefined},
): Outcome<RelayedCall | null, 'invalid proof'> {
  const value = find(RELAYED_HEADER);
  if (value === null) return succeed(null);
  const [, count, proof] = RELAYED_VALUE.exec(value) ?? [];
  if (count === undefined || proof === undefined || secret === undefined) {
    return fail('invalid proof');
  }
  const runs = Number(count);
  const expected = createProof(secret, {call, runs});
  const isValid = equalSecrets(proof, expected);
  return isValid ? succeed({runs}) : fail('invalid proof');
}

/** Drops the header, which is for gateways only. */
export function dropRelayed(headers: readonly Header[]): Header[] {
  const dropped = RELAYED_HEADER.toLowerCase();
  return headers.filter(([name]) => name.toLowerCase() !== dropped);
}

/** What of a request the proof covers. */
type SignedCall = Pick<Call, 'method' | 'path' | 'host'> & {
  readonly facts: Pick<Call['facts'], 'attemptId' | 'key'>;
};

function createProof(
  secret: string,
  {call, runs}: {readonly call: SignedCall; readonly runs: number},
): string {
  const {method, path, host, facts} = call;
  const fields = [runs, method, host, path, facts.attemptId, facts.key];
  return createHmac('sha256', secret)
    .update(JSON.stringify(['relayed', ...fields]))
    .digest('hex');
}
