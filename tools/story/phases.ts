/** The phases of a story, which run in sequence under steady load. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Scenario} from '../../testing/system/scenario.ts';

/** Duration of the network partition between the regions. */
const PARTITION_MS = 15_000;

/** Time within which a bad roll-out must be halted automatically. */
const ROLLOUT_HALT_TIMEOUT_MS = 20_000;

/** Matches the hosts of the second region. */
const SECOND_REGION_HOST = /^[hw][258]$/;

/** All phases, in order. */
export const phases: Readonly<
  Record<string, (scenario: Scenario) => Promise<unknown>>
> = {
  'operators race': async scenario => {
    const results = await scenario.applyConflicting(['h0', 'h1', 'h3', 'h4']);
    const winnerCount = results.filter(result => result.code === 0).length;
    if (winnerCount !== 1)
      throw new Error(
        `race had ${winnerCount} successful applies instead of 1`,
      );
  },
  'every daemon restarts in turn': async scenario => {
    for (const host of scenario.system.daemons.keys()) {
      const code = await scenario.stopDaemon(host);
      if (code !== 0) throw new Error(`${host} stopped with code ${code}`);
      scenario.system.daemons.get(host)?.start();
      await scenario.system.waitForHost(host);
    }
  },
  'every daemon is killed in turn': async scenario => {
    for (const [host, daemon] of scenario.system.daemons) {
      await daemon.kill();
      daemon.start();
      await scenario.system.waitForHost(host);
    }
  },
  'the regions part': async scenario => {
    const restore = scenario.system.proxy.cut(
      (from, to) =>
        from !== 'caller' &&
        SECOND_REGION_HOST.test(from) !== SECOND_REGION_HOST.test(to),
    );
    await sleep(PARTITION_MS);
    restore();
  },
  'the regions meet again': async scenario => {
    await scenario.system.waitForAllHosts();
    await scenario.waitForEndpoints(9);
  },
  'two disks are lost, one after the repair of the other': async scenario => {
    for (const host of ['h0', 'h1']) {
      await scenario.system.daemons.get(host)?.kill();
      await scenario.system.loseDisk(host);
      scenario.system.daemons.get(host)?.start();
      await scenario.system.waitForHost(host);
      await scenario.waitForRepair();
    }
  },
  'a version is withdrawn': scenario => scenario.withdraw('draft/small', 'h2'),
  'after the withdrawal': () => sleep(3_000),
  'a roll-out goes bad': async scenario => {
    await scenario.startBadRollout();
    const deadline = Date.now() + ROLLOUT_HALT_TIMEOUT_MS;
    while (Date.now() < deadline) {
      const status = await scenario.system.readStatus('h0');
      const state = status.rollouts?.[0]?.status;
      if (state === 'withdrawn' || state === 'backed-out') return;
      await sleep(100);
    }
    throw new Error(
      `the roll-out did not halt within ${ROLLOUT_HALT_TIMEOUT_MS} ms`,
    );
  },
};
