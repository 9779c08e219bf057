/** The cells of the fault matrix: faults alone, twice and in pairs, by step. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {faults} from './faults.ts';
import {steps} from './steps.ts';

/** The faults to inject, and the step at which to inject them. */
export interface Cell {
  /** One fault, two different faults, or the same fault twice. */
  readonly row: readonly string[];
  readonly step: string;
}

export function listRows(): string[][] {
  const names = Object.keys(faults);
  const alone = names.map(name => [name]);
  const twice = names.map(name => [name, name]);
  const pairs = names.flatMap((first, index) =>
    names.slice(index + 1).map(second => [first, second]),
  );
  return [...alone, ...twice, ...pairs];
}

/** Lists all cells, single faults first. */
export function listCells(): Cell[] {
  const names = Object.keys(steps);
  return listRows().flatMap(row => names.map(step => ({row, step})));
}

/** Formats a cell as the option `--cell` expects it. */
export function formatCell(cell: Cell): string {
  return `${cell.row.join(' + ')} @ ${cell.step}`;
}

/** Draws up to `count` different cells at random. */
export function drawCells(
  cells: readonly Cell[],
  count: number,
  seed: number,
): Cell[] {
  const generator = xoroshiro128plus(seed);
  const remaining = [...cells];
  const drawn: Cell[] = [];
  while (drawn.length < count && remaining.length > 0) {
    const index = uniformInt(generator, 0, remaining.length - 1);
    drawn.push(...remaining.splice(index, 1));
  }
  return drawn;
}
