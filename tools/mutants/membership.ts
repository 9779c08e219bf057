/** Changes of the rules by which a replicated group replaces its voters. */
import type {TurnoverFigures} from '../../src/coordination/replication/turnover_history.ts';
import type {Edit, Mutant, Suite} from './suite.ts';

const REPLICATION = 'src/coordination/replication';
const CONTACTS = `${REPLICATION}/member_contacts.ts`;
const LOST_VOTERS = `${REPLICATION}/find_lost_voters.ts`;
const PLAN = `${REPLICATION}/plan_membership.ts`;
const REPLICA = `${REPLICATION}/replica.ts`;
const SIMULATED_GROUP = `${REPLICATION}/simulated_group.ts`;
const TURNOVER_HISTORY = `${REPLICATION}/turnover_history.ts`;

const FORGOTTEN_EVIDENCE: Edit = {
  file: CONTACTS,
  from: 'if (!report) return null;',
  to: 'return null;',
};

const MUTANTS: readonly Mutant[] = [
  {name: 'evidence-of-one-leader', edits: [FORGOTTEN_EVIDENCE]},
  {
    name: 'promoted-before-synced',
    edits: [{file: PLAN, from: '.filter(({caughtUp}) => caughtUp)', to: ''}],
  },
  {
    name: 'removed-before-replaced',
    edits: [
      {
        file: PLAN,
        from: 'if (length % 2 === 0 && lost[0]) return lost[0].voter;',
        to: 'if (lost[0]) return lost[0].voter;',
      },
    ],
  },
  {
    name: 'two-changes-at-once',
    edits: [
      {
        file: PLAN,
        from: 'const voters = [...view.voters.map(voter => voter.member), member];',
        to: `const voters = [
    ...view.voters
      .filter(voter => voter !== lost[0]?.voter)
      .map(voter => voter.member),
    member,
  ];`,
      },
    ],
  },
  {
    name: 'wiped-disk-keeps-vote',
    edits: [
      {
        file: LOST_VOTERS,
        from: "return answer.incarnation === member.incarnation ? undefined : 'disk';",
        to: 'return undefined;',
      },
      {
        file: REPLICA,
        from: 'if (to !== this.self.incarnation) {',
        to: 'if (to === undefined) {',
      },
    ],
  },
];

/** Sets the options of the replicas in a simulated group. */
function setOptions(options: string): Edit {
  return {file: SIMULATED_GROUP, from: 'replaceAfterMs: 8_000,', to: options};
}

const ALTERNATIVE_RULES: readonly Mutant[] = [
  {
    name: 'shorter-silence-alone',
    edits: [setOptions('replaceAfterMs: 1_500, succeededAfterMs: Infinity,')],
  },
  {
    name: 'no-evidence-of-empty-disk',
    edits: [setOptions('replaceAfterMs: 8_000, succeededAfterMs: Infinity,')],
  },
  {name: 'evidence-of-one-leader', edits: [FORGOTTEN_EVIDENCE]},
  {
    name: 'no-spares',
    edits: [setOptions('replaceAfterMs: 8_000, spareCount: 0,')],
  },
  {
    name: 'two-spares',
    edits: [setOptions('replaceAfterMs: 8_000, spareCount: 2,')],
  },
  {
    name: 'no-further-voters',
    edits: [
      {
        file: TURNOVER_HISTORY,
        from: 'Math.max(2, toleratedLosses + 1)',
        to: 'Math.max(2, toleratedLosses)',
      },
    ],
  },
];

function describeOutput(output: string): string[] {
  const histories = [...output.matchAll(/^\{"seed":.*\}$/gm)].map(
    ([json]) => JSON.parse(json) as TurnoverFigures,
  );
  if (histories.length === 0) return [];
  const lost = histories.filter(({isLost}) => isLost).length;
  const failing = histories.filter(({failures}) => failures.length > 0).length;
  const late = histories.reduce((sum, each) => sum + each.lateProposals, 0);
  return [
    `of ${histories.length} histories: lost ${lost}, invariant fails ${failing}`,
    `restore ${describeValues(histories.flatMap(each => each.restoreMs))} ms`,
    `leaderless ${describeValues(histories.flatMap(each => each.leaderlessMs))} ms`,
    `changes per loss ${describeValues(histories.flatMap(each => each.lastingChanges))}`,
    `changes per passing loss ${describeValues(histories.flatMap(each => each.passingChanges))}`,
    `late proposals ${late}`,
  ];
}

/** Describes how many values there are, their median, mean and maximum. */
function describeValues(values: readonly number[]): string {
  const sorted = [...values].sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  const mean = sorted.reduce((sum, each) => sum + each, 0) / sorted.length;
  const max = sorted.at(-1) ?? 0;
  return `(${sorted.length}) median ${median}, mean ${mean.toFixed(2)}, max ${max}`;
}

/**
 * CORE_TURNOVER_SEEDS and CORE_TURNOVER_FROM set the histories, and
 * MEMBERSHIP_DEPTH the depth of the exploration.
 */
export const MEMBERSHIP: Suite = {
  tests: [
    `${REPLICATION}/explore_membership_test.ts`,
    `${REPLICATION}/core_turnover_test.ts`,
    `${REPLICATION}/core_repair_test.ts`,
    `${REPLICATION}/core_losses_test.ts`,
  ],
  env: {CORE_TURNOVER_PRINT: '1'},
  mutants: MUTANTS,
  mustFail: true,
  describeOutput,
};

/** Other rules, to compare their figures; they may hold as well. */
export const ALTERNATIVES: Suite = {
  ...MEMBERSHIP,
  tests: [`${REPLICATION}/core_turnover_test.ts`],
  mutants: ALTERNATIVE_RULES,
  mustFail: false,
};
