/**
 * Guards against a request that crashes each endpoint that begins it, and that
 * gateways send from one endpoint to the next: as retries, and when its caller
 * sends it again, at any gateway.
 *
 * REQUEST_CRASH_SEEDS sets how many histories are played of each kind, from
 * REQUEST_CRASH_FROM on; REQUEST_CRASH_PRINT prints the figures of each.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {
  playRequestHistory,
  type RequestHistoryFigures,
  type RequestHistoryOptions,
  type Trouble,
} from '../simulation/request_history.ts';

const SEEDS = Number(process.env['REQUEST_CRASH_SEEDS'] ?? 6);
const FIRST_SEED = Number(process.env['REQUEST_CRASH_FROM'] ?? 1);

/** Sendings of a request that may reach endpoints late. */
const MAX_LATE = 3;

/** Endpoints that one request may end. */
const MAX_MEDIAN_CRASHES = 4;
const MAX_CRASHES = 8;

/** How often neighbours of a bad request begin, beside before. */
const MIN_MEAN_SOUND_RATIO = 0.9;

/** The histories of each kind, which several tests look at. */
const played = new Map<string, Promise<RequestHistoryFigures[]>>();

function playHistories(trouble: Trouble): Promise<RequestHistoryFigures[]> {
  const known = played.get(trouble) ?? playAll({trouble});
  played.set(trouble, known);
  return known;
}

async function playAll(
  options: Omit<RequestHistoryOptions, 'seed'>,
  seeds = SEEDS,
): Promise<RequestHistoryFigures[]> {
  const histories: RequestHistoryFigures[] = [];
  for (let seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed++) {
    histories.push(await playRequestHistory({...options, seed}));
  }
  if (process.env['REQUEST_CRASH_PRINT']) {
    const kind = JSON.stringify(options);
    for (const each of histories) console.log(kind, JSON.stringify(each));
  }
  return histories;
}

test('forward() keeps a request from endpoints once it has crashed three of them', async () => {
  for (const {seed, setting, late} of await playHistories('drawn')) {
    const most = Math.max(...late);
    assert.ok(most <= MAX_LATE, `seed ${seed}: ${most} late (${setting})`);
  }
});

test('forward() loses few endpoints to a request', async () => {
  const histories = await playHistories('none');
  const counts = histories
    .flatMap(({crashes}) => crashes)
    .sort((a, b) => a - b);
  const median = counts[Math.floor(counts.length / 2)] ?? 0;
  assert.ok(median <= MAX_MEDIAN_CRASHES, `median ${median}`);
  for (const {seed, setting, crashes} of histories) {
    const most = Math.max(...crashes);
    assert.ok(most <= MAX_CRASHES, `seed ${seed}: ${most} ended (${setting})`);
  }
});

// Guards against the neighbours of a bad request, which wait or are refused.
test('forward() serves the neighbours of a request that crashes endpoints', async () => {
  const histories = await playHistories('none');
  const ratios = histories.flatMap(({soundRatio}) => soundRatio ?? []);
  const mean = ratios.reduce((sum, each) => sum + each, 0) / ratios.length;
  assert.ok(mean >= MIN_MEAN_SOUND_RATIO, `sound requests: ${mean} served`);
});

// Guards against a second run of a request that may not be repeated.
test('forward() never repeats an unsafe request whose endpoint crashed', async () => {
  for (const {seed, repeatedUnsafe} of await playHistories('drawn')) {
    assert.equal(repeatedUnsafe, 0, `seed ${seed}`);
  }
});

/** Troubles in which endpoints end, or seem to, without a request's fault. */
const ORDINARY_TROUBLES: readonly Trouble[] = [
  'drawn',
  'flaps',
  'racks',
  'rolling-restart',
  'planned-ends',
  'freezes',
  'broken-links',
];

// Guards against requests that are blamed for what they did not do: callers poll,
// so that equal requests are at most endpoints that end, and at each gateway whose
// links break.
for (const trouble of ORDINARY_TROUBLES) {
  test(`forward() condemns no sound request in ${trouble}`, async () => {
    for (const {seed, setting, condemnedSound} of await playAll(
      {trouble, hasBad: false},
      Math.ceil(SEEDS / 3),
    )) {
      assert.equal(condemnedSound, 0, `seed ${seed} (${setting})`);
    }
  });
}

test.run();
