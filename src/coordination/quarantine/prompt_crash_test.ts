/**
 * Guards against requests whose prompt has a part that crashes engines, and that
 * gateways send from one engine to the next: as retries, and as new requests.
 *
 * PROMPT_CRASH_SEEDS sets how many histories are played of each kind, from
 * PROMPT_CRASH_FROM on; PROMPT_CRASH_PRINT prints the figures of each.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {
  playHistory,
  type HistoryFigures,
  type HistoryOptions,
} from '../simulation/prompt_history.ts';
import {SimulatedSite} from '../simulation/simulated_site.ts';

const SEEDS = Number(process.env['PROMPT_CRASH_SEEDS'] ?? 6);
const FIRST_SEED = Number(process.env['PROMPT_CRASH_FROM'] ?? 1);

/** Requests with a part that may reach engines late. */
const MAX_LATE = 3;

/** Engines that one part may end, at up to 5 requests a second. */
const MAX_MEDIAN_CRASHES = 5;
const MAX_CRASHES = 8;

/** How often sound requests begin, beside before; in each history and the mean. */
const MIN_SOUND_RATIO = 0.5;
const MIN_MEAN_SOUND_RATIO = 0.9;

/** Histories of ordinary crashes for each one in which a part is condemned. */
const HISTORIES_PER_CONDEMNED = 300;

async function playHistories(
  options: Omit<HistoryOptions, 'seed'>,
): Promise<HistoryFigures[]> {
  const histories: HistoryFigures[] = [];
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    histories.push(await playHistory({...options, seed}));
  }
  if (process.env['PROMPT_CRASH_PRINT']) {
    const kind = JSON.stringify(options);
    for (const each of histories) console.log(kind, JSON.stringify(each));
  }
  return histories;
}

test('forward() keeps a part that crashes engines from them after the fifth crash', async () => {
  const histories = await playHistories({});
  for (const {seed, setting, late} of histories) {
    for (const count of late) {
      assert.ok(count <= MAX_LATE, `seed ${seed}: ${count} late (${setting})`);
    }
  }
  assertSoundServed(histories);
});

/** Asserts that sound requests begin about as often as before. */
function assertSoundServed(histories: readonly HistoryFigures[]): void {
  const ratios = histories.flatMap(({seed, setting, soundRatio}) => {
    if (soundRatio === null) return [];
    const isServed = soundRatio >= MIN_SOUND_RATIO;
    assert.ok(isServed, `seed ${seed}: ${soundRatio} served (${setting})`);
    return [soundRatio];
  });
  const mean = ratios.reduce((sum, each) => sum + each, 0) / ratios.length;
  assert.ok(mean >= MIN_MEAN_SOUND_RATIO, `sound requests: ${mean} served`);
}

// Guards against repeats of a request that ended an engine, and against parts
// of which many requests are under way before the first crash is known.
test('forward() loses few engines to a part', async () => {
  const histories = await playHistories({isCalm: true, maxBadPerSecond: 5});
  const counts = histories
    .flatMap(({crashes}) => crashes)
    .sort((a, b) => a - b);
  const median = counts[Math.floor(counts.length / 2)] ?? 0;
  assert.ok(median <= MAX_MEDIAN_CRASHES, `median ${median}`);
  for (const {seed, setting, crashes} of histories) {
    const most = Math.max(...crashes);
    assert.ok(most <= MAX_CRASHES, `seed ${seed}: ${most} ended (${setting})`);
  }
  assertSoundServed(histories);
});

// Guards against requests with one part that are permitted beside each other,
// by the late report of a crash and by the end of an earlier trial.
test('forward() sends a suspected part to one engine at a time', async () => {
  const {crashes} = await playHistory({
    seed: 70_009,
    isCalm: true,
    maxBadPerSecond: 5,
  });
  assert.ok(Math.max(...crashes) <= MAX_CRASHES, `${crashes.join(' ')} ended`);
});

// Guards against parts that are condemned since engines ended with them for
// other reasons: single crashes, racks, restarts, lost messages.
test('forward() condemns no part for ordinary crashes', async () => {
  assertFewCondemned(await playHistories({hasBadParts: false, isCalm: false}));
});

// Guards against parts that are condemned since engines end by chance so often
// that a part is there several times in a row.
test('forward() condemns no part while engines flap', async () => {
  assertFewCondemned(
    await playHistories({hasBadParts: false, isCalm: true, flapsPerSecond: 1}),
  );
});

// Guards against a popular part that is condemned since it is at each engine that
// ends by chance, so that no end seems to come without it.
test('forward() does not condemn a part that is at every engine', async () => {
  for (const seed of [71_007, 71_016, 71_022, 71_028]) {
    const {condemnedSound} = await playHistory({
      seed,
      hasBadParts: false,
      isCalm: true,
      flapsPerSecond: 1,
    });
    assert.equal(condemnedSound, 0, `seed ${seed}`);
  }
});

/** Asserts that sound parts are condemned in few histories. */
function assertFewCondemned(histories: readonly HistoryFigures[]): void {
  const wrong = histories.filter(({condemnedSound}) => condemnedSound > 0);
  const allowed = Math.floor(histories.length / HISTORIES_PER_CONDEMNED);
  assert.ok(
    wrong.length <= allowed,
    `seeds ${wrong.map(({seed}) => seed).join(' ')}`,
  );
}

/** Restarts that must not lose what is known of a part. */
const RESTARTS: Readonly<Record<string, (site: SimulatedSite) => void>> = {
  'all daemons at once': site => {
    for (let index = 0; index < CORES; index++) {
      site.restartCore(index, {keepsDisk: true});
    }
    for (let index = 0; index < GATEWAYS; index++) site.restartGateway(index);
  },
  'all core daemons, with empty disks': site => {
    for (let index = 0; index < CORES; index++) site.restartCore(index);
  },
  'all gateways': site => {
    for (let index = 0; index < GATEWAYS; index++) site.restartGateway(index);
  },
};

const CORES = 3;
const GATEWAYS = 6;

for (const [name, restart] of Object.entries(RESTARTS)) {
  test(`a condemned part stays so after a restart of ${name}`, async () => {
    const site = new SimulatedSite({
      seed: 5,
      cores: CORES,
      gateways: GATEWAYS,
      endpoints: 12,
      engines: {batch: 4, badParts: new Set(['bad'])},
      route: {repeatability: 'stream', resumable: true, maxAttempts: 3},
    });
    let count = 0;
    const drawFacts = () => ({
      prompt: ['first', ++count % 4 === 0 ? 'bad' : 'sound', `own${count}`].map(
        id => ({id, tokens: 10}),
      ),
    });
    await site.run(6_000, 20, drawFacts);
    const crashes = site.engines?.crashes.length ?? 0;
    assert.ok(crashes >= 3 && crashes <= MAX_CRASHES, `${crashes} ended`);
    for (let round = 0; round < 3; round++) {
      restart(site);
      await site.run(4_000, 20, drawFacts);
    }
    assert.equal(site.engines?.crashes.length, crashes);
  });
}

test.run();
