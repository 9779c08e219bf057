/**
 * Guards against orders of calm that get no acknowledgement, since a herd of endpoints
 * that left or ended seconds before keeps the core busy.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {findQuantile} from '../simulation/describe_histories.ts';
import {playHerdHistories} from '../simulation/herd_histories.ts';
import type {HerdFigures} from '../simulation/herd_history.ts';

/** The bounds of acks of orders: of 99 in 100, and of all, in ms. */
const MAX_ACK_P99_MS = 650;
const MAX_ACK_MS = 5_000;

test('orders after a herd are acknowledged in time', async () => {
  const acks = (await playHerdHistories()).map(({ackMs}) => ackMs ?? Infinity);
  const p99 = findQuantile(acks, 0.99);
  assert.ok(p99 <= MAX_ACK_P99_MS, `${Math.round(p99)} ms`);
  assert.ok(Math.max(...acks) <= MAX_ACK_MS);
});

test('no order and no departure lacks an acknowledgement', async () => {
  const played = await playHerdHistories();
  const found = played.filter(
    ({ackMs, behind, unacknowledged}) =>
      ackMs === null || behind > 0 || unacknowledged.length > 0,
  );
  const describe = ({seed, ackMs, behind, unacknowledged}: HerdFigures) =>
    `seed ${seed}: ${JSON.stringify({ackMs, behind, unacknowledged})}`;
  assert.deepEqual(found.map(describe), []);
});

test.run();
