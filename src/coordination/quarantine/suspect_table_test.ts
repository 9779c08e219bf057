/** Guards against prompt parts that a verdict does not keep from engines. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createSuspectKey, SuspectTable} from './suspect_table.ts';

const SERVICE = 'app';
const NO_PARTS: ReadonlySet<string> = new Set();

/** Engines that run beside those that end. */
const listStarts = () => ['r1/1', 'r2/1', 'r3/1'];

/** The time of a request at an engine before it ends, in ms. */
const EXPOSURE_MS = 100;

/** Requests with a condemned part that may reach engines. */
const MAX_TRIES = 3;

/** Records that an engine ended while it answered on a part. */
function recordCrash(
  table: SuspectTable,
  {
    part,
    level,
    start,
    atMs,
  }: Record<'part' | 'start', string> & Record<'level' | 'atMs', number>,
): void {
  table.mergeOne({
    service: SERVICE,
    kind: 'part' as const,
    customers: [],
    part,
    level,
    isCondemned: false,
    crashes: new Map([
      [start, {atMs, exposureMs: EXPOSURE_MS, refutedAt: -Infinity}],
    ]),
    clearedAt: -Infinity,
  });
}

// Guards against a bad part that ends one engine after the other, ever more
// seldom, since other parts were there each time.
test('a condemned part is tried a few times at most while others explain it', async () => {
  const clock = new SimulatedClock();
  const table = new SuspectTable({clock, listStarts, condemns: true});
  const record = (start: string, level: number) => {
    const atMs = clock.monotonic();
    recordCrash(table, {part: 'bad', level, start, atMs});
    recordCrash(table, {part: 'other', level, start, atMs});
  };
  for (let level = 1; level <= 3; level++) {
    record(`e${level}/1`, level);
    await clock.advance(100);
  }
  // Until then the crashes are confirmed.
  await clock.advance(3_000);
  let tries = 0;
  for (let second = 0; second < 500; second++) {
    await clock.advance(1_000);
    table.decide();
    const suspect = table.get(
      createSuspectKey(SERVICE, {kind: 'part', part: 'bad'}),
    );
    assert.ok(suspect?.isCondemned);
    if (!table.isExplained(suspect, NO_PARTS)) continue;
    tries++;
    record(`t${second}/1`, suspect.level + 1);
  }
  assert.ok(tries > 0);
  assert.ok(tries <= MAX_TRIES, `${tries} tries`);
});

// Guards against a part that is condemned since engines flap.
test('a part is not condemned for three crashes while engines end without it', async () => {
  const clock = new SimulatedClock();
  const table = new SuspectTable({clock, listStarts, condemns: true});
  for (let index = 0; index < 6; index++) {
    const atMs = clock.monotonic();
    recordCrash(table, {
      part: `p${index}`,
      level: 1,
      start: `o${index}/1`,
      atMs,
    });
    await clock.advance(100);
  }
  for (let level = 1; level <= 3; level++) {
    const atMs = clock.monotonic();
    recordCrash(table, {part: 'part', level, start: `e${level}/1`, atMs});
    await clock.advance(100);
  }
  assert.deepEqual(table.listCondemned(), []);
});

// Guards against requests that are blamed for broken links of a gateway.
test('a crash does not count once its endpoint gave a sign of life', async () => {
  const clock = new SimulatedClock();
  const table = new SuspectTable({clock, listStarts, condemns: true});
  for (let level = 1; level <= 4; level++) {
    const atMs = clock.monotonic();
    recordCrash(table, {part: 'part', level, start: `e${level}/1`, atMs});
    await clock.advance(50);
  }
  assert.ok(table.hasPending);
  await clock.advance(1_000);
  for (let level = 1; level <= 4; level++) {
    table.recordAlive(`e${level}/1`, clock.monotonic());
  }
  await clock.advance(10_000);
  assert.deepEqual(table.decide(), []);
  assert.equal(table.find(SERVICE, {kind: 'part', part: 'part'}), null);
});

// Guards against requests that are refused for good, also after the endpoints were
// mended.
test('a verdict ends after a while', async () => {
  const clock = new SimulatedClock();
  const table = new SuspectTable({clock, listStarts, condemns: true});
  for (let level = 1; level <= 3; level++) {
    const atMs = clock.monotonic();
    recordCrash(table, {part: 'part', level, start: `e${level}/1`, atMs});
    await clock.advance(100);
  }
  await clock.advance(3_000);
  table.decide();
  assert.equal(table.listCondemned().length, 1);
  await clock.advance(11 * 60_000);
  assert.deepEqual(table.listCondemned(), []);
});

// Guards against a gateway that waits for a verdict that the core does not give.
test('a suspect is pending at a gateway for a few seconds only', async () => {
  const clock = new SimulatedClock();
  const table = new SuspectTable({clock, listStarts});
  for (let level = 1; level <= 3; level++) {
    const atMs = clock.monotonic();
    recordCrash(table, {part: 'part', level, start: `e${level}/1`, atMs});
    await clock.advance(100);
  }
  assert.ok(table.hasPending);
  await clock.advance(5_000);
  assert.equal(table.hasPending, false);
  assert.deepEqual(table.listCondemned(), []);
});

// Guards against a customer whose crashing requests drive the evidence of others
// out of the table.
test('records of one customer do not displace those of others', () => {
  const clock = new SimulatedClock();
  const table = new SuspectTable({clock, listStarts});
  const record = (part: string, customer: string) =>
    table.mergeOne({
      service: SERVICE,
      kind: 'request',
      part,
      customers: [customer],
      level: 1,
      isCondemned: false,
      crashes: new Map([
        [`${part}/1`, {atMs: 0, exposureMs: EXPOSURE_MS, refutedAt: -Infinity}],
      ]),
      clearedAt: -Infinity,
    });
  record('other', 'c2');
  for (let count = 0; count < 1_000; count++) record(`p${count}`, 'c1');
  assert.ok(table.size <= 256, `${table.size} records`);
  assert.ok(table.find(SERVICE, {kind: 'request', part: 'other'}));
});

test.run();
