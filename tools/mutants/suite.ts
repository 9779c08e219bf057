/** What a suite of mutants consists of. */

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

export interface Suite {
  /** The test files that run on each copy. */
  readonly tests: readonly string[];
  /** Makes the tests print their figures. */
  readonly env: Readonly<Record<string, string>>;
  readonly mutants: readonly Mutant[];
  /** Whether each mutant must fail a test that passes on the sources. */
  readonly mustFail: boolean;
  /** Describes the figures in the output of the tests, a line each. */
  readonly describeOutput: (output: string) => string[];
}
