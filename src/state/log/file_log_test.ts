import fc from 'fast-check';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {LogEntry} from '../../protocol/replication.ts';
import {CorruptLogError, DiskFullError, StorageFailedError} from '../errors.ts';
import {MemoryFileSystem} from '../files/memory_file_system.ts';
import {encodeSnapshot} from '../snapshot/snapshot_codec.ts';
import {openFileLog, type FileLog} from './file_log.ts';

const FOLDER = '/data/group';
const MEMBERSHIP = {voters: [{name: 'a', incarnation: 'disk_1'}]};

async function openLog(files: MemoryFileSystem): Promise<FileLog> {
  const outcome = await openFileLog({
    folder: FOLDER,
    files,
    segmentBytes: 300,
    trailingEntries: 3,
  });
  if (!outcome.ok) throw outcome.error;
  return outcome.value;
}

function createEntry(index: number, term: number): LogEntry {
  return {index, term, command: `${term}/${index}`};
}

async function saveSnapshot(log: FileLog, index: number, term: number) {
  const head = {index, term, membership: MEMBERSHIP};
  await log.saveSnapshot(head, encodeSnapshot({...head, state: index}));
}

/** The expected log: its terms by index, snapshot index and hard state. */
interface Model {
  terms: number[];
  snapshotIndex: number;
  hardTerm: number;
}

type Step =
  | {type: 'append'; count: number; back: number}
  | {type: 'hard'}
  | {type: 'snapshot'; back: number}
  | {type: 'install'; ahead: number};

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      type: fc.constant('append' as const),
      count: fc.integer({min: 1, max: 4}),
      back: fc.integer({min: 0, max: 3}),
    }),
  },
  {weight: 2, arbitrary: fc.constant<Step>({type: 'hard'})},
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('snapshot' as const),
      back: fc.integer({min: 0, max: 2}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('install' as const),
      ahead: fc.integer({min: 1, max: 5}),
    }),
  },
);

/**
 * Runs one step on the log and returns the model after it. Passes that model
 * to `onAttempt` before the write, which may crash.
 */
async function runStep(
  log: FileLog,
  model: Model,
  step: Step,
  onAttempt: (next: Model) => void,
): Promise<Model> {
  const next = {...model, terms: [...model.terms]};
  const term = model.hardTerm;
  const last = model.terms.length;
  if (step.type === 'append') {
    const first = Math.max(model.snapshotIndex, last - step.back) + 1;
    const entries = Array.from({length: step.count}, (_, offset) =>
      createEntry(first + offset, term),
    );
    next.terms.length = first - 1;
    next.terms.push(...entries.map(() => term));
    onAttempt(next);
    await log.append(entries);
  } else if (step.type === 'hard') {
    next.hardTerm++;
    onAttempt(next);
    await log.saveHardState({term: next.hardTerm, votedFor: 'a'});
  } else if (step.type === 'snapshot') {
    const index = Math.max(model.snapshotIndex, last - step.back);
    if (index === 0) return model;
    next.snapshotIndex = index;
    onAttempt(next);
    await saveSnapshot(log, index, model.terms[index - 1] ?? 0);
  } else {
    const index = last + step.ahead;
    next.snapshotIndex = index;
    next.terms = Array.from({length: index}, () => term);
    onAttempt(next);
    await saveSnapshot(log, index, term);
  }
  return next;
}

/** Whether the log matches the model, except for optional old entries. */
function matchesModel(log: FileLog, model: Model): boolean {
  if (log.hardState.term !== model.hardTerm) return false;
  if ((log.snapshot?.index ?? 0) !== model.snapshotIndex) return false;
  if (log.lastIndex !== model.terms.length) return false;
  if (log.firstIndex > model.snapshotIndex + 1) return false;
  for (let index = model.snapshotIndex + 1; index <= log.lastIndex; index++) {
    const [entry] = log.read(index, index);
    const term = model.terms[index - 1];
    if (entry?.command !== `${term}/${index}`) return false;
    if (log.getTerm(index) !== term) return false;
  }
  return true;
}

test('a crash at any change keeps all synced data and adds none', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, {minLength: 1, maxLength: 25}),
      fc.array(fc.integer({min: 1, max: 30}), {minLength: 1, maxLength: 6}),
      fc.infiniteStream(fc.double({min: 0, max: 0.999, noNaN: true})),
      async (steps, crashes, randoms) => {
        const random = () => randoms.next().value as number;
        const files = new MemoryFileSystem();
        const crashPlan = [...crashes];
        let changesLeft = crashPlan.shift() ?? Infinity;
        files.beforeChange = () => {
          if (--changesLeft > 0) return;
          changesLeft = Infinity;
          files.crash(random);
          throw new Error('Crashed');
        };
        let model: Model = {terms: [], snapshotIndex: 0, hardTerm: 0};
        let log: FileLog | null = null;
        for (const step of steps) {
          let attempted = model;
          try {
            log ??= await openLog(files);
            model = await runStep(log, model, step, next => {
              attempted = next;
            });
          } catch {
            changesLeft = Infinity;
            log = await openLog(files);
            const held = matchesModel(log, attempted) ? attempted : model;
            assert.ok(
              matchesModel(log, held),
              'the log matches neither the old nor the new model',
            );
            model = held;
            changesLeft = crashPlan.shift() ?? Infinity;
          }
        }
        files.beforeChange = () => {};
        assert.ok(
          matchesModel(await openLog(files), model),
          'the log does not match the model',
        );
      },
    ),
    {seed: 20261203, numRuns: 400},
  );
});

test('a flipped bit is detected or loses only the last frame', async () => {
  await fc.assert(
    fc.asyncProperty(fc.nat(), fc.nat(), async (nth, bit) => {
      const files = new MemoryFileSystem();
      const log = await openLog(files);
      for (let index = 1; index <= 12; index++) {
        await log.append([createEntry(index, 1)]);
      }
      const names = (await files.list(FOLDER)).sort();
      const path = `${FOLDER}/${names[nth % names.length]}`;
      const size = (await files.read(path))?.length ?? 0;
      files.flipBit(path, bit % (size * 8));
      const outcome = await openFileLog({folder: FOLDER, files});
      if (!outcome.ok) return assert.instance(outcome.error, CorruptLogError);
      const held = outcome.value.read(1, 12).map(entry => entry.command);
      const written = Array.from({length: 12}, (_, n) => `1/${n + 1}`);
      assert.ok(held.length >= 11, `held ${held.length}`);
      assert.equal(held, written.slice(0, held.length));
    }),
    {seed: 20261203, numRuns: 300},
  );
});

test('append() on a full disk writes nothing and can be retried', async () => {
  const files = new MemoryFileSystem();
  const log = await openLog(files);
  await log.append([createEntry(1, 1)]);
  files.beforeChange = operation => {
    if (operation !== 'append') return;
    throw Object.assign(new Error('no space'), {code: 'ENOSPC'});
  };
  const error = await log.append([createEntry(2, 1)]).catch(reason => reason);
  assert.instance(error, DiskFullError);
  assert.is(log.lastIndex, 1);
  files.beforeChange = () => {};
  await log.append([createEntry(2, 1)]);
  assert.is((await openLog(files)).lastIndex, 2);
});

test('a failed sync makes this append() and later ones fail', async () => {
  const files = new MemoryFileSystem();
  const log = await openLog(files);
  files.beforeChange = operation => {
    if (operation !== 'sync') return;
    throw Object.assign(new Error('bad disk'), {code: 'EIO'});
  };
  const first = await log.append([createEntry(1, 1)]).catch(reason => reason);
  assert.instance(first, StorageFailedError);
  files.beforeChange = () => {};
  const second = await log.append([createEntry(1, 1)]).catch(reason => reason);
  assert.instance(second, StorageFailedError);
  assert.is(log.lastIndex, 0);
});

test('openFileLog() returns a read error as a failure', async () => {
  const files = new MemoryFileSystem();
  const log = await openLog(files);
  await log.append([createEntry(1, 1)]);
  files.read = async () => {
    throw Object.assign(new Error('bad disk'), {code: 'EIO'});
  };
  const outcome = await openFileLog({folder: FOLDER, files});
  assert.not.ok(outcome.ok);
});

test.run();
