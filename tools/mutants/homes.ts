/** Changes that each let a request leave its home regions. */
import type {Mutant, Suite} from './suite.ts';

const FOLDER = 'src/coordination/homes';
const HOMES = `${FOLDER}/home_regions.ts`;
const FIND = `${FOLDER}/find_home_regions.ts`;
const RELAY = 'src/coordination/reach/call_relay.ts';
const RULES = 'src/coordination/selection/endpoint_rules.ts';

const MUTANTS: readonly Mutant[] = [
  {
    name: 'regions-are-those-at-admission',
    edits: [
      {
        file: HOMES,
        from: 'findHomeRegions(routes, run.admitted)',
        to: 'findHomeRegions(null, run.admitted)',
      },
    ],
  },
  {
    name: 'regions-are-kept-with-the-request',
    edits: [
      {
        file: HOMES,
        from: 'if (known?.routes === routes) return',
        to: 'if (known) return',
      },
    ],
  },
  {
    name: 'customers-have-no-regions',
    edits: [
      {
        file: FIND,
        from: 'listHomes(findCustomer(routes, admitted))',
        to: 'listHomes(admitted.customer && null)',
      },
    ],
  },
  {
    name: 'nothing-is-asked-before-the-first-byte',
    edits: [
      {
        file: RULES,
        from: 'return this.isAllowed(run, endpoint) && this.tryTake',
        to: 'return this.tryTake',
      },
    ],
  },
  {
    name: 'nothing-is-asked-before-the-first-byte-of-a-relay',
    edits: [
      {
        file: RELAY,
        from: 'mayBegin: () => this.maySend(run, gateway)',
        to: 'mayBegin: () => true',
      },
    ],
  },
  {
    name: 'unknown-regions-are-homes',
    edits: [
      {
        file: HOMES,
        from: 'region !== null && homes.has(region)',
        to: 'region === null || homes.has(region)',
      },
    ],
  },
  {
    name: 'relays-without-a-home-gateway-hold-up-others',
    edits: [
      {
        file: RELAY,
        from: 'return homes === null ? name : JSON',
        to: 'return homes !== undefined ? name : JSON',
      },
    ],
  },
];

export const HOME_REGIONS: Suite = {
  tests: [
    `${FOLDER}/find_home_regions_test.ts`,
    `${FOLDER}/home_regions_test.ts`,
    `${FOLDER}/home_histories_test.ts`,
  ],
  env: {},
  mutants: MUTANTS,
  mustFail: true,
  describeOutput: () => [],
};
