/**
 * Explores all orders of losses, returns, elections, commits and changes of
 * voters up to a depth.
 *
 * MEMBERSHIP_DEPTH sets the depth; MEMBERSHIP_PRINT prints how many states were
 * seen.
 */
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {
  checkState,
  createModelState,
  formatState,
  haveCommonVoter,
  listTransitions,
  type ModelOptions,
  type ModelState,
} from './membership_model.ts';

const DEPTH = Number(process.env['MEMBERSHIP_DEPTH'] ?? 7);

interface Trace {
  readonly state: ModelState;
  readonly action: string;
  readonly before: Trace | null;
}

function listActions(trace: Trace | null): string[] {
  return trace ? [...listActions(trace.before), trace.action] : [];
}

/** Returns the number of states, or the first trace that ends in a violation. */
function explore(
  first: ModelState,
  options: ModelOptions,
): {count: number; failure: string | null} {
  const seen = new Set([formatState(first)]);
  let frontier: Trace[] = [{state: first, action: 'start', before: null}];
  for (let depth = 0; depth < DEPTH; depth++) {
    const next: Trace[] = [];
    for (const trace of frontier) {
      for (const {action, state} of listTransitions(trace.state, options)) {
        const id = formatState(state);
        if (seen.has(id)) continue;
        seen.add(id);
        const reached = {state, action, before: trace};
        const [violation] = [
          ...checkState(state, options),
          ...(haveCommonVoter(trace.state.voters, state.voters)
            ? []
            : ['two majorities without a common voter']),
        ];
        if (violation !== undefined) {
          const steps = [...listActions(reached), violation];
          return {count: seen.size, failure: steps.join('\n')};
        }
        next.push(reached);
      }
    }
    frontier = next;
  }
  return {count: seen.size, failure: null};
}

interface Case {
  readonly hosts: string;
  readonly voterCount: number;
  /** The voters at first. */
  readonly voters: number;
  readonly toleratedLosses: number;
}

const CASES: readonly Case[] = [
  {hosts: 'abc', voterCount: 5, voters: 3, toleratedLosses: 1},
  {hosts: 'abcd', voterCount: 5, voters: 3, toleratedLosses: 1},
  {hosts: 'abcde', voterCount: 5, voters: 5, toleratedLosses: 1},
  {hosts: 'abcde', voterCount: 5, voters: 5, toleratedLosses: 2},
  {hosts: 'abcdef', voterCount: 5, voters: 5, toleratedLosses: 2},
];

// Guards against changes of voters after which a loss that must be borne leaves
// no majority, or takes the last disk with an acknowledged entry.
for (const {hosts, voterCount, voters, toleratedLosses} of CASES) {
  test(`no order of ${toleratedLosses} losses at once breaks a group of ${hosts}`, () => {
    const options = {voterCount, spareCount: 2, toleratedLosses};
    const first = createModelState([...hosts], voters);
    const {count, failure} = explore(first, options);
    if (process.env['MEMBERSHIP_PRINT']) {
      console.log(`${hosts}, ${toleratedLosses} lost: ${count} states`);
    }
    assert.is(failure, null);
  });
}

test.run();
