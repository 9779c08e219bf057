/**
 * Guards against a core that a herd keeps busy: endpoints that leave or end together,
 * or answers that are lost, make daemons tell each other the same again and again,
 * until orders of calm get no acknowledgement.
 *
 * HERD_SEEDS sets how many histories are played, from HERD_FROM on; HERD_PRINT prints
 * the figures of each, and HERD_TRACE what daemons log.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {findQuantile} from '../simulation/describe_histories.ts';
import {playHerdHistory, type HerdFigures} from '../simulation/herd_history.ts';

const SEEDS = Number(process.env['HERD_SEEDS'] ?? 6);
const FIRST_SEED = Number(process.env['HERD_FROM'] ?? 1);

/** The bounds of what a core daemon may pass in a second, in relation to calm. */
const MAX_DURING = 3;
const MAX_AFTER = 1.3;

/** The bounds of acks of orders: of 99 in 100, and of all, in ms. */
const MAX_ACK_P99_MS = 650;
const MAX_ACK_MS = 5_000;

let histories: Promise<HerdFigures[]> | null = null;

/** Plays the histories once for all tests. */
function playHistories(): Promise<HerdFigures[]> {
  histories ??= (async () => {
    const trace = process.env['HERD_TRACE']
      ? (line: string, fields?: object) =>
          console.log(line, fields ? JSON.stringify(fields) : '')
      : undefined;
    const played: HerdFigures[] = [];
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      const figures = await playHerdHistory({seed, trace});
      played.push(figures);
      if (process.env['HERD_PRINT']) console.log(JSON.stringify(figures));
    }
    return played;
  })();
  return histories;
}

/** Describes the histories in which daemons pass more than a bound. */
async function listBusy(
  span: 'during' | 'after',
  bound: number,
): Promise<string[]> {
  return (await playHistories()).flatMap(({seed, herd, calm, ...figures}) => {
    const most = figures[span];
    const messages = most.messages / calm.messages;
    const bytes = most.bytes / calm.bytes;
    if (Math.max(messages, bytes) <= bound) return [];
    const ratios = `${messages.toFixed(1)}, ${bytes.toFixed(1)} times`;
    return [`seed ${seed}, ${JSON.stringify(herd)}: ${ratios}`];
  });
}

test('a herd costs core daemons a few times what calm costs', async () => {
  assert.deepEqual(await listBusy('during', MAX_DURING), []);
});

test('core daemons are as calm as before 3 s after a herd', async () => {
  assert.deepEqual(await listBusy('after', MAX_AFTER), []);
});

test('orders after a herd are acknowledged in time', async () => {
  const acks = (await playHistories()).map(({ackMs}) => ackMs ?? Infinity);
  const p99 = findQuantile(acks, 0.99);
  assert.ok(p99 <= MAX_ACK_P99_MS, `${Math.round(p99)} ms`);
  assert.ok(Math.max(...acks) <= MAX_ACK_MS);
});

test('no order and no departure lacks an acknowledgement', async () => {
  const played = await playHistories();
  const found = played.filter(
    ({ackMs, behind, unacknowledged}) =>
      ackMs === null || behind > 0 || unacknowledged.length > 0,
  );
  const describe = ({seed, ackMs, behind, unacknowledged}: HerdFigures) =>
    `seed ${seed}: ${JSON.stringify({ackMs, behind, unacknowledged})}`;
  assert.deepEqual(found.map(describe), []);
});

test.run();
