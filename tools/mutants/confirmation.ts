/** Changes that each take a promise from acknowledgements. */
import type {Mutant, Suite} from './suite.ts';

const FOLDER = 'src/coordination/confirmation';
const CONFIRMER = `${FOLDER}/confirmer.ts`;
const WAITING = `${FOLDER}/waiting_change.ts`;
const ADMIT = 'src/coordination/forwarding/admit_call.ts';
const PICKER = 'src/coordination/forwarding/endpoint_picker.ts';
const CHOICE = 'src/coordination/gateway/core_choice.ts';
const FOLLOWER = 'src/coordination/gateway/core_follower.ts';
const VIEW = 'src/coordination/gateway/gateway_view.ts';

const MUTANTS: readonly Mutant[] = [
  {
    name: 'ack-before-last-confirmation',
    edits: [
      {
        file: CONFIRMER,
        from: 'if (!change.isHeld || !change.isHeard) continue;',
        to: 'if (!change.isHeld) continue;',
      },
      {
        file: CONFIRMER,
        from: 'if (this.listBehind(change, inUse).length === 0) resolve();',
        to: 'resolve();',
      },
    ],
  },
  {
    name: 'dead-gateway-is-waited-for',
    edits: [
      {
        file: CONFIRMER,
        from: '.filter(([, {atMs}]) => atMs > oldest)',
        to: '',
      },
    ],
  },
  {
    name: 'earlier-run-confirms',
    edits: [
      {
        file: CONFIRMER,
        from: 'known.atMs <= next.atMs',
        to: 'known.configurationRevision <= next.configurationRevision',
      },
    ],
  },
  {
    name: 'lagging-daemon-counts-as-new',
    edits: [
      {
        file: FOLLOWER,
        from: 'if (!reply.fresh && document !== null) {',
        to: 'if (document === undefined) {',
      },
    ],
  },
  {
    name: 'no-last-look',
    edits: [
      {
        file: PICKER,
        from: "known?.state === 'ready' &&",
        to: 'known !== null &&',
      },
    ],
  },
  {
    name: 'departure-at-its-receiver-alone',
    edits: [
      {
        file: WAITING,
        from: '2 * this.holders.size > this.cores.length',
        to: 'this.holders.size > 0',
      },
    ],
  },
  {
    name: 'no-question-before-404',
    edits: [
      {
        file: ADMIT,
        from: "if (!(await ensureView())) return fail('unconfirmed');",
        to: 'void ensureView;',
      },
    ],
  },
  {
    name: 'all-at-one-daemon',
    edits: [
      {
        file: CHOICE,
        from: 'rank: this.computeRank(address) + random() * 0.9,',
        to: 'rank: address < random.name ? 0 : 1,',
      },
      {
        file: CHOICE,
        from: 'isFull: this.countFollowers(address) >= this.computeRoom() ? 1 : 0,',
        to: 'isFull: 0,',
      },
    ],
  },
  {
    name: 'replies-out-of-order',
    edits: [
      {file: VIEW, from: 'if (next.revision <= revision) return;', to: ''},
    ],
  },
  {
    name: 'late-lists-remove-endpoints',
    edits: [
      {
        file: FOLLOWER,
        from: 'view.apply(isLate ? {...reply, complete: false} : reply);',
        to: 'view.apply(reply);',
      },
    ],
  },
];

export const CONFIRMATION: Suite = {
  tests: [
    `${FOLDER}/confirmer_test.ts`,
    `${FOLDER}/view_confirmation_test.ts`,
    `${FOLDER}/control_histories_test.ts`,
    'src/coordination/gateway/core_follower_test.ts',
    'src/coordination/gateway/gateway_view_test.ts',
    'src/coordination/forwarding/last_look_test.ts',
  ],
  env: {CONTROL_SEEDS: '6', CONTROL_FROM: '7001', CONTROL_PRINT: '1'},
  mutants: MUTANTS,
  mustFail: true,
  describeOutput: output =>
    output.split('\n').filter(line => /^ {2}(lags|calm)/.test(line)),
};
