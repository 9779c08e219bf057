/** Changes that each switch one mechanism of the quarantine off. */
import type {HistoryFigures} from '../../src/coordination/simulation/prompt_history.ts';
import type {Mutant, Suite} from './suite.ts';

const FORWARDING = 'src/coordination/forwarding';
const FOLDER = 'src/coordination/quarantine';
const QUARANTINE_FILE = `${FOLDER}/quarantine.ts`;
const SUSPECTS = `${FOLDER}/suspect_table.ts`;
const IDENTITY = `${FOLDER}/request_identity.ts`;
const TRIALS = `${FOLDER}/trial_table.ts`;
const CORE_STATE = 'src/coordination/core/core_state.ts';
const CORE_SUSPECTS = `${FOLDER}/core_suspects.ts`;

const MUTANTS: readonly Mutant[] = [
  {
    name: 'identity-with-attempt',
    edits: [
      {
        file: IDENTITY,
        from: 'const place = [caller, ',
        to: 'const place = [call.facts.attemptId, caller, ',
      },
    ],
  },
  {
    name: 'identity-without-customer',
    edits: [
      {
        file: IDENTITY,
        from: 'const place = [caller, ',
        to: 'const place = [caller && null, ',
      },
    ],
  },
  {
    name: 'broken-links-count',
    edits: [
      {
        file: CORE_SUSPECTS,
        from: 'this.apply(this.table.recordAlive(start, aliveAt), {isOwn: false});',
        to: 'void [start, aliveAt];',
      },
    ],
  },
  {
    name: 'verdict-without-end',
    edits: [
      {
        file: SUSPECTS,
        from: 'return this.clock.monotonic() - findLastCrash(suspect) < CONDEMN_MS;',
        to: 'return true;',
      },
    ],
  },
  {
    name: 'no-clearing',
    edits: [
      {
        file: QUARANTINE_FILE,
        from: 'for (const each of sound) this.recordSound(service, each);',
        to: 'void sound;',
      },
    ],
  },
  {
    name: 'no-sum',
    edits: [
      {
        file: QUARANTINE_FILE,
        from: 'recordRelayed(records: readonly SuspectRecord[]): void {',
        to: 'recordRelayed(records: readonly SuspectRecord[]): void {\n    if (records) return;',
      },
    ],
  },
  {
    name: 'repeats-allowed',
    edits: [
      {
        file: `${FORWARDING}/forwarder.ts`,
        from: '(quarantine.isFree(run) || (await this.admitPrompt(run)));',
        to: '(run.sends > 0 || quarantine.isFree(run) || (await this.admitPrompt(run)));',
      },
      {
        file: `${FORWARDING}/run_attempt.ts`,
        from: '(run.isPermitted || options.quarantine.isFree(run)) &&',
        to: '(run.sends > 0 || run.isPermitted || options.quarantine.isFree(run)) &&',
      },
    ],
  },
  {
    name: 'trials-beside-each-other',
    edits: [
      {
        file: TRIALS,
        from: 'if (keys.some(key => this.open.has(key))) return null;',
        to: '',
      },
    ],
  },
  {
    name: 'known-crash-ends-trial',
    edits: [
      {
        file: CORE_SUSPECTS,
        from: `    this.record(suspects, this.options.clock.monotonic());
    const isPending`,
        to: '    const isPending',
      },
    ],
  },
  {
    name: 'any-end-ends-trial',
    edits: [
      {
        file: TRIALS,
        from: 'if (this.open.get(key)?.id === trial) this.open.delete(key);',
        to: 'if (trial >= 0) this.open.delete(key);',
      },
    ],
  },
  {
    name: 'no-background',
    edits: [
      {
        file: SUSPECTS,
        from: 'return chance <= MAX_CHANCE;',
        to: 'return chance <= 1;',
      },
    ],
  },
  {
    name: 'no-tries',
    edits: [
      {
        file: SUSPECTS,
        from: 'const MAX_TRIED_LEVEL = 5;',
        to: 'const MAX_TRIED_LEVEL = 0;',
      },
    ],
  },
  {
    name: 'unbounded-tries',
    edits: [
      {
        file: SUSPECTS,
        from: 'const MAX_TRIED_LEVEL = 5;',
        to: 'const MAX_TRIED_LEVEL = Infinity;',
      },
    ],
  },
  {
    name: 'lost-at-restart',
    edits: [
      {
        file: QUARANTINE_FILE,
        from: 'reportAll(): void {',
        to: 'reportAll(): void {\n    if (this.table) return;',
      },
      {
        file: CORE_STATE,
        from: 'suspects: exchange.wantsAll ? this.suspects.table.list() : [],',
        to: 'suspects: [],',
      },
    ],
  },
];

function parseFigures(output: string): Map<string, HistoryFigures[]> {
  const figures = new Map<string, HistoryFigures[]>();
  for (const [, kind = '', json = ''] of output.matchAll(
    /(\{.*\}) (\{"seed":.*\})$/gm,
  )) {
    const histories = figures.get(kind) ?? [];
    figures.set(kind, [...histories, JSON.parse(json) as HistoryFigures]);
  }
  return figures;
}

function describeFigures(histories: readonly HistoryFigures[]): string {
  const crashes = histories.flatMap(each => each.crashes).sort((a, b) => a - b);
  const ratios = histories.flatMap(({soundRatio}) => soundRatio ?? []);
  const mean = ratios.reduce((sum, each) => sum + each, 0) / ratios.length;
  const wrong = histories.filter(({condemnedSound}) => condemnedSound > 0);
  return [
    `late ${Math.max(0, ...histories.flatMap(({late}) => late))}`,
    `ended ${crashes[Math.floor(crashes.length / 2)] ?? 0}, ${crashes.at(-1) ?? 0}`,
    `sound ${mean.toFixed(2)}, ${Math.min(...ratios).toFixed(2)}`,
    `condemned sound parts in ${wrong.length} of ${histories.length}`,
  ].join('; ');
}

/** PROMPT_CRASH_SEEDS, REQUEST_CRASH_SEEDS and the like set the histories. */
export const QUARANTINE: Suite = {
  tests: [
    'src/coordination/core/core_state_test.ts',
    'src/coordination/quarantine/suspect_table_test.ts',
    'src/coordination/quarantine/quarantine_test.ts',
    'src/coordination/quarantine/request_identity_test.ts',
    'src/coordination/quarantine/prompt_crash_test.ts',
    'src/coordination/quarantine/request_crash_test.ts',
  ],
  env: {PROMPT_CRASH_PRINT: '1', REQUEST_CRASH_PRINT: '1'},
  mutants: MUTANTS,
  mustFail: true,
  describeOutput: output =>
    [...parseFigures(output)].map(
      ([kind, histories]) => `${kind} ${describeFigures(histories)}`,
    ),
};
