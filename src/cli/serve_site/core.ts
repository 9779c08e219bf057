/** Runs the core components of a site daemon. */
import {FollowerTable} from '../../coordination/confirmation/follower_table.ts';
import {Confirmer} from '../../coordination/confirmation/confirmer.ts';
import {
  createConfirmService,
  type ConfirmService,
} from '../../coordination/confirmation/confirm_service.ts';
import {CoreApi} from '../../coordination/core/core_api.ts';
import {CoreState} from '../../coordination/core/core_state.ts';
import {startExchange} from '../../coordination/core/exchange_task.ts';
import {
  createFollowService,
  SILENT_AFTER_MS,
} from '../../coordination/core/follow_service.ts';
import {startRolloutTask} from '../../coordination/core/rollout_task.ts';
import {createTableReader} from '../../coordination/homes/prefer_home_gateways.ts';
import {createJoinedPropose} from '../../coordination/orders/join_proposals.ts';
import {startPeriodicTask} from '../../coordination/periodic_task.ts';
import {startGroupWatch} from '../../coordination/replication/group_watch.ts';
import {
  NO_FOUNDER_REPLY,
  type Founder,
} from '../../coordination/replication/founder.ts';
import {createProposer} from '../../coordination/replication/proposer.ts';
import type {Replica} from '../../coordination/replication/replica.ts';
import {coreSchemas, type CoreService} from '../../protocol/core_service.ts';
import {createIdentifier} from '../../protocol/identifiers.ts';
import type {
  RoutingCommand,
  RoutingResult,
} from '../../protocol/routing_commands.ts';
import {RoutingState} from '../../state/routing/routing_state.ts';
import {splitAddress} from '../../protocol/address.ts';
import {isUnknownCall} from '../../transport/peers/peer_links.ts';
import {startPeerServer} from '../../transport/peers/peer_server.ts';
import {openView, type CommittedView} from './committed_view.ts';
import {GROUP, openReplica} from './open_replica.ts';
import {
  listSeedPeers,
  startDirectory,
  startSurface,
  type SiteParts,
} from './site_parts.ts';

/** The time-out for a proposal, after which callers use another daemon. */
const PROPOSE_DEADLINE_MS = 2_500;

/** The interval between checks for endpoints with missed heartbeats. */
const SWEEP_MS = 500;

/**
 * The fraction of the permitted canary share that a new version gets first. The
 * limit applies to the whole roll-out, and later steps need the remainder.
 */
const CANARY_FRACTION = 0.7;

/** Starts the core; a gateway in the same daemon must start after it. */
export async function startCore(parts: SiteParts): Promise<void> {
  const {clock, store, createLogger, links, getSettings} = parts;
  const settings = getSettings();
  const {listen} = settings;
  const epoch = createIdentifier('core');
  const followers = new FollowerTable({clock, epoch});
  let isFresh = () => false;
  const self = {
    address: listen.peers,
    region: settings.region,
    dataCentre: settings.data_centre,
    controlAddress: listen.control ?? '',
    get followers() {
      return followers.count();
    },
    get fresh() {
      return isFresh();
    },
  };
  const state = new CoreState({
    clock,
    logger: createLogger('core'),
    self,
    entries: parts.entries,
  });
  state.members.setSeeds(listSeedPeers(settings));
  const routing = new RoutingState();
  const view = await openView({
    folder: settings.data_folder ?? '',
    clock,
    logger: createLogger('view'),
    store,
    state,
    routing,
  });
  const {replica, founder} = await openReplica(parts, {state, routing});
  isFresh = () => replica.isFresh();
  const confirm = createConfirmService({
    state,
    followers,
    saved: view.saved,
    clock,
    getConfiguration: () => routing.configuration,
  });
  const service = createService(parts, {
    state,
    view,
    routing,
    replica,
    founder,
    followers,
    confirm,
    epoch,
  });
  const [peerHost, peerPort] = splitAddress(listen.peers);
  store.add(
    await startPeerServer<CoreService>({
      host: peerHost,
      port: peerPort,
      secret: parts.secret,
      service,
      schemas: coreSchemas,
      refusals: parts.refusals,
      memory: parts.host.memory,
      maxConnections: parts.host.connections.peers,
    }),
  );
  const callCore = (address: string) =>
    address === self.address ? service : links.get(address);
  const proposeCommand = createProposer({
    listReplicas: () => [self.address, ...state.members.listAddresses()],
    call: (address, request, timeoutMs) =>
      callCore(address).propose(request, timeoutMs),
    hasContact: address => replica.leader === address,
    clock,
    deadlineMs: PROPOSE_DEADLINE_MS,
  });
  const propose = (command: RoutingCommand, signal?: AbortSignal) =>
    proposeCommand(GROUP, command, signal);
  const listVoters = () => replica.getStatus().voters.map(voter => voter.name);
  const api = new CoreApi({
    state,
    clock,
    logger: createLogger('control'),
    propose,
    read: (address, timeoutMs) =>
      callCore(address).readConfiguration({}, timeoutMs),
    getLeader: () => replica.leader,
    getConfiguration: () => routing.configuration,
    confirmer: new Confirmer({
      clock,
      logger: createLogger('confirm'),
      metrics: parts.metrics,
      confirm,
      listCores: () => state.members.listGroup(listVoters()),
      listSilent: () => state.members.listSilent(SILENT_AFTER_MS, listVoters()),
      self: self.address,
      listGateways: withinMs => state.gateways.listRecent(withinMs),
      call: (address, request, timeoutMs) =>
        links.get(address).confirmChange(request, timeoutMs).catch(dropUnknown),
      passOn: (address, reports, timeoutMs) =>
        links.get(address).exchangeCore(
          {
            from: state.self,
            cores: [],
            reports,
            gateways: [],
            wantsAll: false,
          },
          timeoutMs,
        ),
    }),
  });
  await startSurfaces(parts, api, {state, view});
  replica.start();
  store.add(
    startGroupWatch({
      getStatus: () => replica.getStatus(),
      getPeer: address => links.get(address),
      clock,
      logger: createLogger('replica'),
      metrics: parts.metrics,
    }),
  );
  store.add(
    startExchange({
      state,
      clock,
      logger: createLogger('exchange'),
      entries: parts.entries,
      call: (address, exchange, timeoutMs) =>
        links.get(address).exchangeCore(exchange, timeoutMs),
    }),
  );
  store.add(
    startRolloutTask({
      state,
      clock,
      logger: createLogger('rollout'),
      canaryShare: settings.bounds.canary_share * CANARY_FRACTION,
      limit: {
        share: settings.bounds.canary_share,
        extra: settings.bounds.canary_extra,
      },
      isLeader: () => replica.isLeader(),
      getConfiguration: () => routing.configuration,
      propose,
    }),
  );
  store.add(
    startPeriodicTask({
      clock,
      intervalMs: SWEEP_MS,
      step: async () => {
        state.endpoints.sweep();
        state.limits.pruneEnded(id => state.endpoints.find(id));
        state.suspects.expire();
        view.saveIfChanged();
        state.members.setSeeds(listSeedPeers(getSettings()));
      },
      onError: error =>
        createLogger('core').warn(
          'Could not run the periodic checks of the core.',
          {reason: error.message},
        ),
    }),
  );
}

/** Turns the error of a call that the daemon does not know into `null`. */
function dropUnknown(error: unknown): null {
  if (isUnknownCall(error)) return null;
  throw error;
}

interface CoreParts {
  readonly state: CoreState;
  readonly view: CommittedView;
  readonly routing: RoutingState;
  readonly replica: Replica<RoutingCommand, RoutingResult>;
  readonly founder: Founder | null;
  readonly followers: FollowerTable;
  readonly confirm: ConfirmService;
  /** Identifies this run. */
  readonly epoch: string;
}

function createService(
  {clock, entries}: SiteParts,
  {
    state,
    view,
    routing,
    replica,
    founder,
    followers,
    confirm,
    epoch,
  }: CoreParts,
): CoreService {
  const propose = createJoinedPropose({
    propose: command => replica.propose(command),
    isLeader: () => replica.isLeader(),
    getConfiguration: () => routing.configuration,
  });
  return {
    vote: request => replica.handleVote(request),
    append: request => replica.handleAppend(request),
    installSnapshot: request => replica.handleInstall(request),
    describeReplica: () => replica.handleDescribe(),
    formGroup: request => replica.handleForm(request),
    transferLeadership: request => replica.handleTransfer(request),
    proposeFounding: async request =>
      founder?.handle(request) ?? NO_FOUNDER_REPLY,
    propose: ({command}) => propose(command as RoutingCommand),
    follow: createFollowService({
      state,
      clock,
      epoch,
      getConfiguration: () => view.getConfiguration(),
      isFresh: () => replica.isFresh(),
      followers,
      entries,
    }),
    exchangeCore: async exchange => state.receiveExchange(exchange),
    readConfiguration: async () =>
      replica.isLeader()
        ? {type: 'read', configuration: routing.configuration}
        : {type: 'not-leader', leader: replica.leader},
    requestTrial: async request => state.suspects.openTrial(request),
    finishTrial: async request => {
      state.suspects.finishTrial(request);
      return {};
    },
    confirmChange: confirm,
  };
}

async function startSurfaces(
  parts: SiteParts,
  api: CoreApi,
  {state, view}: Pick<CoreParts, 'state' | 'view'>,
): Promise<void> {
  const {surfaces, getSettings} = parts;
  const isDataCentre = (name: string) => {
    const {data_centres: known} = getSettings();
    return Object.keys(known).length === 0 || Object.hasOwn(known, name);
  };
  const routes = surfaces.createControlRoutes(api, {isDataCentre});
  await startSurface(parts, 'control', routes);
  await startDirectory(parts, {
    listGateways: () => state.gateways.findOpen().list,
    getTable: createTableReader({
      getConfiguration: () => view.getConfiguration(),
      decodeTable: surfaces.decodeTable,
    }),
  });
}
