/** Runs a fixed sample of the fault matrix; `npm run matrix` runs it all. */
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {drawCells, formatCell, listCells} from '../../tools/matrix/cells.ts';
import {runCell} from '../../tools/matrix/run_cell.ts';
import {createSmallTopology} from '../system/topology.ts';
import {Scenario} from '../system/scenario.ts';

const SEED = 2026;
const CELL_COUNT = 6;

let scenario: Scenario;

test.before(async () => {
  scenario = await Scenario.start({
    ...createSmallTopology(),
    network: {callerMs: 1},
  });
});

test.after(async () => {
  await scenario[Symbol.asyncDispose]();
});

const singleFaultCells = listCells().filter(cell => cell.row.length === 1);
for (const cell of drawCells(singleFaultCells, CELL_COUNT, SEED)) {
  test(`${formatCell(cell)} violates no invariant`, async () => {
    assert.equal(await runCell(scenario, cell), []);
  });
}

test.run();
