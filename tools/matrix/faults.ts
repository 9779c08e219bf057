/** The faults of the matrix. Each returns a function that ends it. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Scenario} from '../../testing/system/scenario.ts';

/** The processes that a fault may affect. */
export interface FaultTarget {
  readonly scenario: Scenario;
  /** The host that receives the request first. */
  readonly gateway: string;
  /** The endpoint that runs the request, if any. */
  readonly endpoint: string;
}

/** Injects a fault; the returned function restores normal operation. */
export type Fault = (target: FaultTarget) => Promise<() => Promise<void>>;

/** Duration of freezes and isolations; longer than a configuration lease. */
const FAULT_DURATION_MS = 5_000;

const ENDPOINT = /^[es]\d/;
const DAEMON = /^a\d/;

/** Bytes of a reply that are forwarded before it is truncated. */
const TRUNCATED_BYTES = 700;

const doNothing = async () => {};

/** All faults by name. */
export const faults: Readonly<Record<string, Fault>> = {
  'gateway killed': ({scenario, gateway}) => kill(scenario, gateway),
  'gateway frozen': ({scenario, gateway}) => freeze(scenario, gateway),
  'gateway stopped': async ({scenario, gateway}) => {
    const stopping = scenario.stopDaemon(gateway);
    return async () => {
      await stopping;
      scenario.system.daemons.get(gateway)?.start();
    };
  },
  'gateway isolated': async ({scenario, gateway}) => isolate(scenario, gateway),
  'leader killed': async ({scenario}) =>
    kill(scenario, await scenario.system.findLeader()),
  'leader frozen': async ({scenario}) =>
    freeze(scenario, await scenario.system.findLeader()),
  'leader isolated': async ({scenario}) =>
    isolate(scenario, await scenario.system.findLeader()),
  'disk lost': async ({scenario}) => {
    // Never loses a second of the three disks before the first is repaired:
    // the loss of a majority is not recoverable.
    const host =
      scenario.unrepairedHost ?? (await scenario.system.findLeader());
    await scenario.loseDisk(host);
    return async () => {
      scenario.system.daemons.get(host)?.start();
      await scenario.system.waitForHost(host);
      await scenario.waitForRepair();
    };
  },
  'endpoint killed': async ({scenario, endpoint}) => {
    await scenario.system.endpoints.get(endpoint)?.kill();
    return async () => scenario.system.endpoints.get(endpoint)?.start();
  },
  'endpoint frozen': async ({scenario, endpoint}) => {
    const process = scenario.system.endpoints.get(endpoint);
    process?.signal('SIGSTOP');
    return async () => {
      await sleep(FAULT_DURATION_MS);
      process?.signal('SIGCONT');
    };
  },
  'endpoint links silent': async ({scenario}) => {
    scenario.system.proxy.silence((_from, to) => ENDPOINT.test(to));
    return doNothing;
  },
  'endpoint replies silent': async ({scenario}) => {
    scenario.system.proxy.silence((_from, to) => ENDPOINT.test(to), 'back');
    return doNothing;
  },
  'endpoint links reset': async ({scenario}) => {
    scenario.system.proxy.reset((_from, to) => ENDPOINT.test(to));
    return doNothing;
  },
  'endpoint replies cut': async ({scenario}) => {
    const restore = scenario.system.proxy.truncateReplies(
      (_from, to) => ENDPOINT.test(to),
      TRUNCATED_BYTES,
    );
    scenario.system.proxy.reset((_from, to) => ENDPOINT.test(to));
    return async () => restore();
  },
  'daemon links silent': async ({scenario}) => {
    scenario.system.proxy.silence(
      (from, to) => DAEMON.test(from) && DAEMON.test(to),
    );
    return doNothing;
  },
  'caller links silent': async ({scenario}) => {
    scenario.system.proxy.silence(from => from === 'caller');
    return doNothing;
  },
  'caller links reset': async ({scenario}) => {
    scenario.resetCallerLinks();
    return doNothing;
  },
};

async function kill(scenario: Scenario, host: string) {
  await scenario.system.daemons.get(host)?.kill();
  return async () => scenario.system.daemons.get(host)?.start();
}

async function freeze(scenario: Scenario, host: string) {
  const process = scenario.system.daemons.get(host);
  process?.signal('SIGSTOP');
  return async () => {
    await sleep(FAULT_DURATION_MS);
    process?.signal('SIGCONT');
  };
}

function isolate(scenario: Scenario, host: string) {
  const restore = scenario.system.proxy.cut(
    (from, to) => from !== 'caller' && (from === host) !== (to === host),
  );
  return async () => {
    await sleep(FAULT_DURATION_MS);
    restore();
  };
}
