/**
 * `npm run matrix -- [--rows alone|twice|pairs|all] [--cells N] [--seed S]
 * [--cell "FAULT @ STEP"] [--workers N] [--minutes M]` runs the fault matrix
 * and writes `docs/FAULT_MATRIX.md`.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import {Command} from 'commander';
import {createSmallTopology} from '../../testing/system/topology.ts';
import {Scenario} from '../../testing/system/scenario.ts';
import {drawCells, formatCell, listCells, type Cell} from './cells.ts';
import {formatReport, type CellResult} from './report.ts';
import {runCell} from './run_cell.ts';

const MS_PER_MINUTE = 60_000;

interface MatrixOptions {
  rows: string;
  cells: string;
  seed: string;
  cell?: string;
  workers: string;
  minutes: string;
  out: string;
}

const command = new Command('matrix')
  .option('--rows <kind>', 'alone, twice, pairs or all', 'all')
  .option('--cells <count>', 'maximum number of cells to run', '100000')
  .option('--seed <seed>', 'seed for the order of the cells', '1')
  .option('--cell <cell>', 'run only this cell, named as in the report')
  .option('--workers <count>', 'number of systems run in parallel', '2')
  .option(
    '--minutes <minutes>',
    'no cell is started after this many minutes',
    '600',
  )
  .option('--out <file>', 'path of the report', 'docs/FAULT_MATRIX.md');

const options = command.parse().opts<MatrixOptions>();
const all = listCells();
const selected = all.filter(cell =>
  options.cell === undefined
    ? options.rows === 'all' || classifyRow(cell) === options.rows
    : formatCell(cell) === options.cell,
);
const queue = drawCells(selected, Number(options.cells), Number(options.seed));
const results: CellResult[] = [];
const endsAt = Date.now() + Number(options.minutes) * MS_PER_MINUTE;
await Promise.all(
  Array.from({length: Number(options.workers)}, () => runWorker()),
);
// A rerun of one cell must not overwrite the report of a full run.
if (options.cell === undefined) {
  await mkdir('docs', {recursive: true});
  await writeFile(options.out, formatReport(results, all.length, process.argv));
}
const failed = results.filter(result => result.violations.length > 0).length;
console.log(`${results.length - failed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);

function classifyRow(cell: Cell): string {
  if (cell.row.length === 1) return 'alone';
  return cell.row[0] === cell.row[1] ? 'twice' : 'pairs';
}

/** Runs cells; after a failed cell a new system is started. */
async function runWorker(): Promise<void> {
  while (queue.length > 0 && Date.now() < endsAt) {
    const network = {callerMs: 1};
    await using scenario = await Scenario.start({
      ...createSmallTopology(),
      network,
    });
    let isSystemReusable = true;
    while (isSystemReusable && Date.now() < endsAt) {
      const cell = queue.shift();
      if (!cell) return;
      const startedAt = Date.now();
      const violations = await runCell(scenario, cell);
      const seconds = (Date.now() - startedAt) / 1_000;
      results.push({cell, violations, seconds});
      isSystemReusable = violations.length === 0;
      const verdict = isSystemReusable
        ? 'passed'
        : `FAILED: ${violations.join('; ')}`;
      console.log(`${formatCell(cell)}: ${verdict} (${seconds.toFixed(1)} s)`);
    }
  }
}
