/** Changes that each take a promise from requests that gateways relay. */
import type {Mutant, Suite} from './suite.ts';

const FOLDER = 'src/coordination/reach';
const RELAY = `${FOLDER}/call_relay.ts`;
const REACH = `${FOLDER}/reachability.ts`;
const REFUSAL = 'src/coordination/forwarding/plan_refusal.ts';
const CLIENT = 'src/transport/forwarding/gateway_client.ts';

const MUTANTS: readonly Mutant[] = [
  {
    name: 'relayed-requests-go-further',
    edits: [
      {
        file: RELAY,
        from: 'return !!call.relayed && this.options',
        to: 'return call.relayed === null && this.options',
      },
      {
        file: RELAY,
        from: 'if (call.relayed || held || sink.hasBegun) return false;',
        to: 'if (held || sink.hasBegun) return false;',
      },
    ],
  },
  {
    name: 'broken-hops-are-repeated',
    edits: [
      {
        file: RELAY,
        from: "outcome.type === 'not-sent' || outcome.type === 'not-run'",
        to: "outcome.type !== 'answer'",
      },
    ],
  },
  {
    name: 'what-may-have-run-is-refused-as-not-run',
    edits: [
      {
        file: REFUSAL,
        from: "cause === 'no-path' && run.runs === 0",
        to: "cause === 'no-path'",
      },
    ],
  },
  {
    name: 'gateways-without-a-path-are-not-avoided',
    edits: [{file: RELAY, from: '      this.avoid(address);\n', to: ''}],
  },
  {
    name: 'all-gateways-are-asked-without-a-bound',
    edits: [
      {
        file: RELAY,
        from: 'return this.options.clock.monotonic() >= until;',
        to: 'return until !== null;',
      },
    ],
  },
  {
    name: 'proofs-are-not-checked',
    edits: [
      {
        file: CLIENT,
        from: "return isValid ? succeed({runs}) : fail('invalid proof');",
        to: 'void isValid; return succeed({runs});',
      },
    ],
  },
  {
    name: 'proofs-hold-for-other-requests',
    edits: [{file: CLIENT, from: 'facts.attemptId, facts.key]', to: ']'}],
  },
  {
    name: 'hanging-links-are-not-noticed',
    edits: [
      {
        file: REACH,
        from: 'if (path.open > 0 && silentMs > SILENT_MS) {',
        to: 'if (path.open > 0 && silentMs < 0) {',
      },
    ],
  },
  {
    name: 'one-silent-endpoint-is-a-cut',
    edits: [
      {
        file: REACH,
        from: 'results.includes(true) ||',
        to: '!results.includes(false) ||',
      },
    ],
  },
];

export const RELAYS: Suite = {
  tests: [
    `${FOLDER}/call_relay_test.ts`,
    `${FOLDER}/reachability_test.ts`,
    `${FOLDER}/cut_gateway_test.ts`,
    'src/transport/forwarding/gateway_client_test.ts',
  ],
  env: {},
  mutants: MUTANTS,
  mustFail: true,
  describeOutput: () => [],
};
