/** Starts the sweepers of the ledger groups on daemons with replicas. */
import type {LeaseHolder} from '../../protocol/control.ts';
import {formatLedgerGroup} from '../../coordination/requests/ledger_client.ts';
import {LedgerSweeper} from '../../coordination/requests/ledger_sweeper.ts';
import type {CallReplica} from './call_replica.ts';
import type {DaemonParts} from './daemon.ts';
import type {Replicas} from './replicas.ts';

/** The time-out for one replica to list the lease holders. */
const HOLDERS_TIMEOUT_MS = 1_000;

/** The retention of ledger keys before any declaration is applied. */
const DEFAULT_RETENTION_S = 86_400;

interface SweeperLinks {
  readonly listReplicas: () => readonly string[];
  readonly callReplica: CallReplica;
}

/** Starts one sweeper for each group; `parts.store` owns them. */
export function startSweepers(
  parts: DaemonParts,
  replicas: Replicas,
  links: SweeperLinks,
): void {
  const {clock, store, createLogger} = parts;
  replicas.ledgers.forEach((state, shard) => {
    const group = formatLedgerGroup(shard);
    const replica = replicas.get(group);
    if (!replica) return;
    const sweeper = new LedgerSweeper({
      clock,
      logger: createLogger('ledger'),
      group,
      state,
      isLeader: () => replica.isLeader(),
      getRetentionMs: () => {
        const declared = replicas.control?.state.view.declaration?.ledger;
        return (declared?.retention_s ?? DEFAULT_RETENTION_S) * 1_000;
      },
      listHolders: () => listHolders(links),
      propose: command => replica.propose(command),
    });
    store.add(sweeper).start();
  });
}

/** Lists lease holders known to the control leader; `null` if none answers. */
async function listHolders(
  links: SweeperLinks,
): Promise<readonly LeaseHolder[] | null> {
  for (const name of links.listReplicas()) {
    const reply = await links
      .callReplica(name)
      .listLeaseHolders({}, HOLDERS_TIMEOUT_MS)
      .catch(() => null);
    if (reply?.type === 'holders') return reply.holders;
  }
  return null;
}
