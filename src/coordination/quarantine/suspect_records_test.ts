/** Guards against records whose ends are mostly fields that say nothing. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {suspectSchema} from '../../protocol/suspect.ts';
import {decodeSuspect, encodeSuspect} from './suspect_records.ts';

const NOW_MS = 10_000;

const SUSPECT = {
  service: 'app',
  kind: 'part' as const,
  part: 'p',
  customers: ['a'],
  level: 1,
  isCondemned: false,
  crashes: new Map([
    ['e1/1', {atMs: 9_000, exposureMs: 10, refutedAt: -Infinity}],
    ['e2/1', {atMs: 9_000, exposureMs: 10, refutedAt: 9_500}],
  ]),
  clearedAt: -Infinity,
};

test('an end without a later sign of life does not name one', () => {
  const record = encodeSuspect(SUSPECT, NOW_MS);
  assert.deepEqual(record.crashes, [
    {start: 'e1/1', ageMs: 1_000, exposureMs: 10},
    {start: 'e2/1', ageMs: 1_000, exposureMs: 10, refutedAgeMs: 500},
  ]);
  assert.deepEqual(decodeSuspect(record, NOW_MS), SUSPECT);
});

test('records of earlier versions, which name none as null, are read', () => {
  const record = encodeSuspect(SUSPECT, NOW_MS);
  const crashes = record.crashes.map(crash => ({refutedAgeMs: null, ...crash}));
  const read = suspectSchema.parse({...record, crashes});
  assert.deepEqual(decodeSuspect(read, NOW_MS), SUSPECT);
});

test.run();
