/** Runs one cell of the fault matrix in a running system. */
import type {Scenario} from '../../testing/system/scenario.ts';
import {formatCell, type Cell} from './cells.ts';
import {faults} from './faults.ts';
import {steps} from './steps.ts';

/** A host without a disk, which receives the requests. */
const GATEWAY = 'a4';

/** Number of endpoints in the scenario. */
const ENDPOINT_COUNT = 5;

/** Runs a cell and returns the violations found. */
export async function runCell(
  scenario: Scenario,
  cell: Cell,
): Promise<string[]> {
  const step = steps[cell.step];
  if (!step) return [`Could not find the step "${cell.step}"`];
  let restorations: Array<Promise<void>> = [];
  const inject = async (endpoint: string) => {
    for (const name of cell.row) {
      const fault = faults[name];
      if (!fault) throw new Error(`Could not find the fault "${name}"`);
      const restore = await fault({scenario, gateway: GATEWAY, endpoint});
      // Lasting faults end while the affected work is still running.
      const restoration = restore();
      // Prevents an unhandled rejection; the result is awaited after the step.
      restoration.catch(() => {});
      restorations.push(restoration);
    }
  };
  try {
    const id = `${formatCell(cell)} ${scenario.calls.length}`;
    const violations = await step({scenario, id, gateway: GATEWAY, inject});
    await Promise.all(restorations);
    restorations = [];
    await scenario.system.waitForAllHosts();
    if (scenario.unrepairedHost !== null) await scenario.waitForRepair();
    await scenario.waitForEndpoints(ENDPOINT_COUNT);
    return [...violations, ...(await scenario.check('a1'))];
  } catch (error) {
    await Promise.allSettled(restorations);
    return [(error as Error).message];
  }
}
