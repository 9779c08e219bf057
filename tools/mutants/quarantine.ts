/** Changes that each switch one mechanism of the quarantine off. */

export interface Edit {
  readonly file: string;
  /** A text that occurs once in the file. */
  readonly from: string;
  readonly to: string;
}

export interface Mutant {
  readonly name: string;
  readonly edits: readonly Edit[];
}

const FORWARDING = 'src/coordination/forwarding';
const QUARANTINE = `${FORWARDING}/prompt_quarantine.ts`;
const SUSPECTS = `${FORWARDING}/suspect_table.ts`;
const TRIALS = 'src/coordination/core/trial_table.ts';
const CORE_STATE = 'src/coordination/core/core_state.ts';

export const MUTANTS: readonly Mutant[] = [
  {
    name: 'no-clearing',
    edits: [
      {
        file: QUARANTINE,
        from: 'onSound: () => parts.forEach(part => this.recordSound(service, part)),',
        to: 'onSound: () => {},',
      },
    ],
  },
  {
    name: 'no-sum',
    edits: [
      {
        file: QUARANTINE,
        from: 'recordRelayed(records: readonly SuspectPart[]): void {',
        to: 'recordRelayed(records: readonly SuspectPart[]): void {\n    if (records) return;',
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
        file: CORE_STATE,
        from: `    this.mergeSuspects(suspects, this.options.clock.monotonic());
    const trial = `,
        to: '    const trial = ',
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
        from: 'return CONDEMN_LEVEL + Math.min(MAX_EXTRA_LEVELS, Math.ceil(others / 2));',
        to: 'return CONDEMN_LEVEL;',
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
        file: QUARANTINE,
        from: 'reportAll(): void {',
        to: 'reportAll(): void {\n    if (this.table) return;',
      },
      {
        file: CORE_STATE,
        from: 'suspects: exchange.wantsAll ? this.suspects.list() : [],',
        to: 'suspects: [],',
      },
    ],
  },
];
