/** The cells of the matrix: each fault alone, in pairs and twice, by step. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {faults} from './faults.ts';
import {steps} from './steps.ts';

/** One cell: what fails, and at which step. */
export interface Cell {
  /** One fault, two, or the same twice. */
  readonly row: readonly string[];
  readonly step: string;
}

/** Lists all rows. */
export function listRows(): string[][] {
  const names = Object.keys(faults);
  const alone = names.map(name => [name]);
  const twice = names.map(name => [name, name]);
  const pairs = names.flatMap((first, index) =>
    names.slice(index + 1).map(second => [first, second]),
  );
  return [...alone, ...twice, ...pairs];
}

/** Lists all cells, the faults that come alone first. */
export function listCells(): Cell[] {
  const names = Object.keys(steps);
  return listRows().flatMap(row => names.map(step => ({row, step})));
}

/** Names a cell as the command line takes it. */
export function formatCell(cell: Cell): string {
  return `${cell.row.join(' + ')} @ ${cell.step}`;
}

/** Draws `count` different cells. */
export function drawCells(
  cells: readonly Cell[],
  count: number,
  seed: number,
): Cell[] {
  const generator = xoroshiro128plus(seed);
  const left = [...cells];
  const drawn: Cell[] = [];
  while (drawn.length < count && left.length > 0) {
    const index = uniformInt(generator, 0, left.length - 1);
    drawn.push(...left.splice(index, 1));
  }
  return drawn;
}
