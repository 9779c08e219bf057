/** Runs one cell of the matrix in a running scenario. */
import type {Scenario} from '../../testing/system/scenario.ts';
import {formatCell, type Cell} from './cells.ts';
import {faults} from './faults.ts';
import {steps} from './steps.ts';

/** The host without a disk that requests go to. */
const GATEWAY = 'a4';

/** Endpoints of the scenario. */
const ENDPOINT_COUNT = 5;

/** Runs `cell`; returns what went wrong. */
export async function runCell(
  scenario: Scenario,
  cell: Cell,
): Promise<string[]> {
  const step = steps[cell.step];
  if (!step) return [`there is no step "${cell.step}"`];
  let mending: Array<Promise<void>> = [];
  const inject = async (endpoint: string) => {
    for (const name of cell.row) {
      const fault = faults[name];
      if (!fault) throw new Error(`Could not find the fault "${name}"`);
      const mend = await fault({scenario, gateway: GATEWAY, endpoint});
      // Faults that last are mended beside the work that they hit.
      const mended = mend();
      // It may fail before the step is over, and is looked at only then.
      mended.catch(() => {});
      mending.push(mended);
    }
  };
  try {
    const id = `${formatCell(cell)} ${scenario.calls.length}`;
    const found = await step({scenario, id, gateway: GATEWAY, inject});
    await Promise.all(mending);
    mending = [];
    await scenario.system.waitForAllHosts();
    if (scenario.unrepairedHost !== null) await scenario.waitForRepair();
    await scenario.waitForEndpoints(ENDPOINT_COUNT);
    return [...found, ...(await scenario.check('a1'))];
  } catch (error) {
    await Promise.allSettled(mending);
    return [(error as Error).message];
  }
}
