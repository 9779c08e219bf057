/**
 * Guards against a core that a herd keeps busy: endpoints that leave or end together,
 * or answers that are lost, make daemons tell each other the same again and again.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {playHerdHistories} from '../simulation/herd_histories.ts';

/** The bounds of what a core daemon may pass in a second, in relation to calm. */
const MAX_DURING = 3;
const MAX_AFTER = 1.3;

/** Describes the histories in which daemons pass more than a bound. */
async function listBusy(
  span: 'during' | 'after',
  bound: number,
): Promise<string[]> {
  const played = await playHerdHistories();
  return played.flatMap(({seed, herd, calm, ...figures}) => {
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

test.run();
