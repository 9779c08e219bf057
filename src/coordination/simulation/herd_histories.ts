/**
 * The herds that tests play. HERD_SEEDS sets how many, from HERD_FROM on; HERD_PRINT
 * prints the figures of each, and HERD_TRACE what daemons log.
 */
import {playHerdHistory, type HerdFigures} from './herd_history.ts';

const SEEDS = Number(process.env['HERD_SEEDS'] ?? 6);
const FIRST_SEED = Number(process.env['HERD_FROM'] ?? 1);

let histories: Promise<HerdFigures[]> | null = null;

/** Plays the histories, once for all tests of a process. */
export function playHerdHistories(): Promise<HerdFigures[]> {
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
