/** Changes that each take a precondition from the successor of a silent attempt. */
import type {Mutant, Suite} from './suite.ts';

const FOLDER = 'src/coordination/forwarding';
const HANDOVER = `${FOLDER}/handover.ts`;
const WATCH = `${FOLDER}/silence_watch.ts`;
const WATCHDOG = `${FOLDER}/watchdog.ts`;

/** Lets an attempt be given up although its successor lacks something. */
function ignore(name: string, from: string, to = ''): Mutant {
  return {name, edits: [{file: HANDOVER, from, to}]};
}

const MUTANTS: readonly Mutant[] = [
  ignore(
    'attempts-are-not-asked-for',
    "    if (!isRepeatable || runs >= route.maxAttempts) return fail('attempts');\n",
  ),
  ignore(
    'the-grace-period-is-not-asked-for',
    "    if (!isLost && !shutdown.canEnd(run)) return fail('stopping');\n",
  ),
  ignore(
    'the-quarantine-is-not-asked',
    "    if (isWithheld) return fail('quarantine');\n",
  ),
  {
    name: 'the-budget-is-not-asked',
    edits: [
      {
        file: HANDOVER,
        from: "    if (!isPaid && !budget.tryTake()) return fail('budget');\n    picker.record(run, choice);\n",
        to: '    if (isPaid || budget.tryTake()) picker.record(run, choice);\n',
      },
      {
        file: `${FOLDER}/call_run.ts`,
        from: '    if (reserved) this.isPaid = true;\n',
        to: '',
      },
      {
        file: `${FOLDER}/forwarder.ts`,
        from: '    if (reserved && run.isGivenUp) {\n      return this.attempt(run, sink, {choice: reserved, leftMs});\n    }\n    if (run.isGivenUp) return this.reserveAgain(run, sink);\n',
        to: '',
      },
    ],
  },
  {
    name: 'an-endpoint-is-not-asked-for',
    edits: [
      {
        file: WATCH,
        from: 'const reason = successor.error;',
        to: "const reason = successor.error;\n    if (reason === 'no-endpoint') return giveUp();",
      },
    ],
  },
  ignore(
    'silent-endpoints-take-over',
    '    if (health.hasSpokenSince(endpoint, freshSince)) return true;\n',
    '    if (endpoint.slots > 0) return true;\n',
  ),
  ignore(
    'unheard-endpoints-never-take-over',
    'return (\n      silenceMs >= UNHEARD_AFTER_MS',
    'return (\n      silenceMs < 0',
  ),
  {
    name: 'held-answers-are-dropped-when-silent',
    edits: [
      {
        file: `${FOLDER}/deliver_held.ts`,
        from: '    isCounted: true,\n',
        to: '    isCounted: true,\n    findFallbackMs: () => 0,\n    fallBack: drop,\n',
      },
    ],
  },
  {
    name: 'refused-successors-have-no-successor',
    edits: [
      {
        file: `${FOLDER}/forwarder.ts`,
        from: '    if (run.isGivenUp) return this.reserveAgain(run, sink);\n',
        to: '',
      },
    ],
  },
  {
    name: 'the-rest-of-a-stream-takes-as-long-as-a-whole-one',
    edits: [
      {
        file: `${FOLDER}/shutdown.ts`,
        from: 'this.durations.estimateLeft(run)',
        to: 'this.durations.estimate(run)',
      },
    ],
  },
  {
    name: 'timers-do-not-expire-earlier',
    edits: [
      {
        file: WATCHDOG,
        from: '      if (dueAt >= before) return;\n',
        to: '      if (before > 0) return;\n',
      },
    ],
  },
  {
    name: 'successors-are-asked-for-once',
    edits: [
      {
        file: WATCH,
        from: 'FINAL.has(reason) ? Infinity : RETRY_HANDOVER_MS',
        to: 'FINAL.has(reason) ? Infinity : RETRY_HANDOVER_MS * 1_000',
      },
    ],
  },
];

/** The tests of answers whose endpoints are silent. */
export const HANDOVERS: Suite = {
  tests: [
    `${FOLDER}/handover_test.ts`,
    `${FOLDER}/shutdown_test.ts`,
    `${FOLDER}/silence_histories_test.ts`,
    `${FOLDER}/suspected_successors_test.ts`,
    `${FOLDER}/watchdog_test.ts`,
  ],
  env: {SILENCE_SEEDS: '200'},
  mutants: MUTANTS,
  mustFail: true,
  describeOutput: () => [],
};
