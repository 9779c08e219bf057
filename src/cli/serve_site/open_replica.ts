/** Opens the replica of a core daemon and its votes as a founder of the group. */
import {join} from 'node:path';
import type {CoreState} from '../../coordination/core/core_state.ts';
import {Founder} from '../../coordination/replication/founder.ts';
import type {ReplicaHost} from '../../coordination/replication/member.ts';
import {Replica} from '../../coordination/replication/replica.ts';
import type {Membership} from '../../protocol/replication.ts';
import type {
  RoutingCommand,
  RoutingResult,
} from '../../protocol/routing_commands.ts';
import {nodeFileSystem} from '../../state/files/node_file_system.ts';
import type {RoutingState} from '../../state/routing/routing_state.ts';
import {openStorage} from '../serve/open_storage.ts';
import {listSeedPeers, type SiteParts} from './site_parts.ts';

/** The name of the replicated group. */
export const GROUP = 'routing';

/** The file with this host's votes, beside the folder of the group. */
const FOUNDER_FILE = `${GROUP}.founder`;

/** The minimum number of disk failures that the voters must bear. */
const MIN_BORNE_DISKS = 2;

/**
 * The disk failures that the voters bear beyond the promised ones: a further disk
 * may fail while the replacement of the last one is still catching up.
 */
const FURTHER_BORNE_DISKS = 1;

/** The time without contact after which a standby replaces a voter. */
const REPLACE_AFTER_MS = 8_000;

/** How many standbys are kept caught up: as many as may be lost at once. */
const SPARE_COUNT = 2;

export interface OpenReplicaParts {
  readonly state: CoreState;
  readonly routing: RoutingState;
}

export interface OpenedReplica {
  readonly replica: Replica<RoutingCommand, RoutingResult>;
  /** `null` on a host that is no founder of the group. */
  readonly founder: Founder | null;
}

/** Opens the replica; it runs no tasks until it is started. */
export async function openReplica(
  {clock, leaseClock, store, createLogger, links, getSettings}: SiteParts,
  {state, routing}: OpenReplicaParts,
): Promise<OpenedReplica> {
  const settings = getSettings();
  const {data_folder: dataFolder = ''} = settings;
  const logger = createLogger('replica');
  const folder = join(dataFolder, GROUP);
  const storage = store.add(await openStorage(folder, {clock, logger}));
  const founder = await Founder.open({
    group: GROUP,
    name: state.self.address,
    founders: settings.bootstrap
      ? [...new Set(listSeedPeers(settings))].sort()
      : [],
    storage,
    files: nodeFileSystem,
    path: join(dataFolder, FOUNDER_FILE),
    ask: (address, request, timeoutMs) =>
      links.get(address).proposeFounding(request, timeoutMs),
    logger,
  });
  const replica: Replica<RoutingCommand, RoutingResult> = await Replica.open<
    RoutingCommand,
    RoutingResult
  >({
    group: GROUP,
    name: state.self.address,
    bootstrapHosts: [],
    founder,
    listHosts: () => listHosts(state, replica.membership),
    voterCount: computeVoterCount(settings.bounds.tolerated_disks),
    spareCount: SPARE_COUNT,
    replaceAfterMs: REPLACE_AFTER_MS,
    storage,
    stateMachine: routing,
    getPeer: address => links.get(address),
    clock: leaseClock,
    random: Math.random,
    logger,
    onChange: () => state.changes.notify(),
  });
  return {replica: store.add(replica), founder};
}

/**
 * Lists the core daemons that are known, and the hosts of all voters: no daemon
 * removes a host from the core, so a voter is lost by its silence alone.
 */
function listHosts(
  state: CoreState,
  membership: Membership | null,
): ReplicaHost[] {
  const hosts = state.members.list().map(({address, region, dataCentre}) => ({
    name: address,
    region,
    dataCentre,
  }));
  const known = new Set(hosts.map(({name}) => name));
  const unknown = (membership?.voters ?? [])
    .filter(({name}) => !known.has(name))
    .map(({name}) => ({name, region: '', dataCentre: name}));
  return [...hosts, ...unknown];
}

/** Computes how many voters keep a majority after these disk failures. */
function computeVoterCount(toleratedDisks: number): number {
  const borne = Math.max(MIN_BORNE_DISKS, toleratedDisks + FURTHER_BORNE_DISKS);
  return 2 * borne + 1;
}
