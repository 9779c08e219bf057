/**
 * Plays drawn histories of losses once for all tests of a file.
 *
 * CORE_TURNOVER_SEEDS sets how many histories are played, from
 * CORE_TURNOVER_FROM on; CORE_TURNOVER_PRINT prints the figures of each, and
 * CORE_TURNOVER_TRACE what the hosts log.
 */
import assert from 'node:assert/strict';
import {runTurnover, type TurnoverFigures} from './turnover_history.ts';

const DEFAULT_SEEDS = 16;

const FIRST_SEED = Number(process.env['CORE_TURNOVER_FROM'] ?? 1);

const trace = process.env['CORE_TURNOVER_TRACE']
  ? (line: string, fields?: object) => console.log(line, fields ?? '')
  : undefined;

let histories: Promise<TurnoverFigures[]> | null = null;

/** Plays the histories, or returns those that were played. */
export function playHistories(): Promise<TurnoverFigures[]> {
  histories ??= runHistories();
  return histories;
}

async function runHistories(): Promise<TurnoverFigures[]> {
  const seeds = Number(process.env['CORE_TURNOVER_SEEDS'] ?? DEFAULT_SEEDS);
  const played: TurnoverFigures[] = [];
  for (let seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed++) {
    const figures = await runTurnover(seed, {trace});
    if (process.env['CORE_TURNOVER_PRINT']) {
      console.log(JSON.stringify(figures));
    }
    played.push(figures);
  }
  return played;
}

/** Checks the figures of each history, and the median of all. */
export function checkFigures(
  figures: ReadonlyArray<{seed: number; values: readonly number[]}>,
  {max, maxMedian}: {max: number; maxMedian: number},
): void {
  const wrong = figures
    .filter(({values}) => values.some(value => value > max))
    .map(({seed, values}) => `seed ${seed}: ${Math.max(...values)}`);
  assert.deepEqual(wrong, [], `above ${max}`);
  const all = figures.flatMap(({values}) => values).sort((a, b) => a - b);
  const median = all[Math.floor(all.length / 2)] ?? 0;
  assert.ok(median <= maxMedian, `median ${median}, not ${maxMedian}`);
}
