/** Opens the replicas on daemons with a data folder. */
import {join} from 'node:path';
import type {ControlCommand, ControlResult} from '../../protocol/control.ts';
import {ControlState} from '../../state/control/control_state.ts';
import {LedgerState} from '../../state/ledger/ledger_state.ts';
import {lockFolder} from '../../state/files/folder_lock.ts';
import type {StateMachine} from '../../state/state_machine.ts';
import {LeaseTable} from '../../coordination/leases/lease_table.ts';
import {startGroupWatch} from '../../coordination/replication/group_watch.ts';
import {Replica} from '../../coordination/replication/replica.ts';
import {formatLedgerGroup} from '../../coordination/requests/ledger_client.ts';
import type {PeerLinks} from '../../transport/peers/peer_links.ts';
import {findReplicaAddress} from './call_replica.ts';
import type {DaemonParts} from './daemon.ts';
import {openStorage} from './open_storage.ts';

/** The name of the group that holds the configuration. */
export const CONTROL_GROUP = 'control';

/** The control group's replica, its state and the leases that it grants. */
export interface ControlReplica {
  readonly replica: Replica<ControlCommand, ControlResult>;
  readonly state: ControlState;
  readonly leases: LeaseTable;
}

/** The replicas of one daemon; none without a data folder. */
export interface Replicas {
  readonly control: ControlReplica | null;
  readonly ledgers: readonly LedgerState[];
  get(group: string): Replica<unknown, unknown> | undefined;
  /** Starts the background tasks of all replicas. */
  start(): void;
}

/** Opens all replicas of the daemon; throws if the folder is in use. */
export async function openReplicas(
  parts: DaemonParts,
  links: PeerLinks,
): Promise<Replicas> {
  const {settings, clock} = parts;
  const groups = new Map<string, Replica<unknown, unknown>>();
  const ledgers: LedgerState[] = [];
  let control: ControlReplica | null = null;
  if (settings.data_folder !== undefined) {
    const lock = await lockFolder(settings.data_folder);
    if (!lock.ok) throw lock.error;
    parts.store.add(lock.value);
    const state = new ControlState();
    const replica = await openReplica(parts, links, CONTROL_GROUP, state);
    const getLeaderSince = () => replica.leaderSince;
    const regions = settings.replicas.map(each => each.region);
    const leases = new LeaseTable({clock, getLeaderSince, regions});
    control = {replica, state, leases};
    groups.set(CONTROL_GROUP, replica as Replica<unknown, unknown>);
    for (let shard = 0; shard < settings.ledger_groups; shard++) {
      const group = formatLedgerGroup(shard);
      const ledger = new LedgerState();
      const member = await openReplica(parts, links, group, ledger);
      ledgers.push(ledger);
      groups.set(group, member as Replica<unknown, unknown>);
    }
  }
  return {
    control,
    ledgers,
    get: group => groups.get(group),
    start() {
      for (const replica of groups.values()) {
        replica.start();
        parts.store.add(
          startGroupWatch({
            getStatus: () => replica.getStatus(),
            getPeer: name => links.get(findReplicaAddress(settings, name)),
            clock,
            logger: parts.createLogger('replica'),
            metrics: parts.metrics,
          }),
        );
      }
    },
  };
}

async function openReplica<C, R>(
  parts: DaemonParts,
  links: PeerLinks,
  group: string,
  stateMachine: StateMachine<C, R>,
): Promise<Replica<C, R>> {
  const {settings, clock, store, createLogger} = parts;
  const folder = join(settings.data_folder ?? '', group);
  const logger = createLogger('storage');
  const storage = store.add(await openStorage(folder, {clock, logger}));
  const hosts = settings.replicas.map(each => ({
    name: each.name,
    region: each.region,
    dataCentre: each.data_centre,
  }));
  const replica = await Replica.open<C, R>({
    group,
    name: settings.name,
    bootstrapHosts: hosts,
    listHosts: () => hosts,
    voterCount: settings.voters,
    replaceAfterMs: settings.replace_after_s * 1_000,
    storage,
    stateMachine,
    getPeer: name => links.get(findReplicaAddress(settings, name)),
    clock,
    random: Math.random,
    logger: createLogger('replica'),
  });
  return store.add(replica);
}
