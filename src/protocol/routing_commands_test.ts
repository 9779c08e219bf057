import assert from 'node:assert/strict';
import {test} from 'uvu';
import {coreSchemas} from './core_service.ts';

const COMMANDS: readonly unknown[] = [
  {type: 'replace', version: 3, document: '{}'},
  {
    type: 'begin_rollout',
    service: 'app',
    target: 'v2',
    durationMs: 12_000,
    atMs: 1_700_000_000_000,
  },
  {
    type: 'set_share',
    service: 'app',
    target: 'v2',
    share: 0.1,
    movesSessions: false,
  },
  {type: 'finish_rollout', service: 'app', target: 'v2', state: 'reverted'},
];

function accepts(command: unknown): boolean {
  return coreSchemas.propose.safeParse({group: 'routing', command}).success;
}

test('proposals of each command are accepted', () => {
  for (const command of COMMANDS) assert.ok(accepts(command));
});

// Guards against a committed command that ends each daemon that applies it, at
// each restart anew.
test('odd proposals are refused before they reach the log', () => {
  let deep: unknown = 0;
  for (let depth = 0; depth < 100_000; depth++) deep = [deep];
  const odd: unknown[] = [null, undefined, 7, [], {}, deep, {type: 'other'}];
  for (const command of COMMANDS) {
    for (const [field, value] of Object.entries(command as object)) {
      odd.push({...(command as object), [field]: null});
      odd.push({...(command as object), [field]: deep});
      if (typeof value !== 'number') continue;
      odd.push({...(command as object), [field]: Infinity});
    }
  }
  for (const command of odd) assert.equal(accepts(command), false);
});

test.run();
