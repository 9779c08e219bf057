/** Assembles the components of a daemon and runs them. */
import {
  PEER_CALLS,
  peerReplySchemas,
  peerSchemas,
} from '../../protocol/peer_service.ts';
import {RefusalLog} from '../../protocol/refusal_log.ts';
import {systemClock, type Clock} from '../../protocol/clock.ts';
import type {Host} from '../../protocol/control.ts';
import {createIdentifier} from '../../protocol/identifiers.ts';
import type {CreateLogger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {Settings} from '../../protocol/settings.ts';
import {splitAddress} from '../../protocol/address.ts';
import {computeMemoryBounds} from '../../coordination/memory_account/compute_bounds.ts';
import {MemoryAccount} from '../../coordination/memory_account/memory_account.ts';
import {startMemoryReport} from '../../coordination/memory_account/memory_report.ts';
import {ConfigurationLease} from '../../coordination/leases/configuration_lease.ts';
import type {LeaseRelay} from '../../coordination/leases/lease_relay.ts';
import type {RecordExchange} from '../../coordination/membership/record_exchange.ts';
import {EndpointTable} from '../../coordination/membership/endpoint_table.ts';
import {DemandTable} from '../../coordination/placement/demand_table.ts';
import {EvidenceCollector} from '../../coordination/rollout/evidence_collector.ts';
import {EvidenceLedger} from '../../coordination/rollout/evidence_ledger.ts';
import {batchProposals} from '../../coordination/replication/batch_proposals.ts';
import {createProposer} from '../../coordination/replication/proposer.ts';
import {createLedgerClient} from '../../coordination/requests/ledger_client.ts';
import {createMetrics} from '../../transport/metrics/create_metrics.ts';
import {formatGateway} from '../../coordination/requests/ledger_sweeper.ts';
import {PeerLinks} from '../../transport/peers/peer_links.ts';
import {startPeerServer} from '../../transport/peers/peer_server.ts';
import {
  startPublicServer,
  type PublicServer,
} from '../../transport/public/public_server.ts';
import {createReplicaCaller, listReplicasByDistance} from './call_replica.ts';
import {createRequestContext} from './create_request_context.ts';
import {DisposableStore} from './disposable_store.ts';
import {openExchange, startEndpointRebuild} from './exchange.ts';
import {createOperatorService} from './operator_service.ts';
import {createPeerService} from './peer_service.ts';
import {openLeaseRelay} from './lease_relay.ts';
import {startPlacement} from './placement.ts';
import {createLeaseRenewal} from './renew_lease.ts';
import {startGauges} from './report_gauges.ts';
import {CONTROL_GROUP, openReplicas} from './replicas.ts';
import {startRollouts} from './rollouts.ts';
import {startSweepers} from './sweepers.ts';
import {readSecrets} from './secrets.ts';

/** The time for callers to discover that this daemon is shutting down. */
const SHUTDOWN_NOTICE_MS = 1_500;

/** A running daemon. Dispose it to shut it down gracefully. */
export interface Daemon extends AsyncDisposable {
  readonly name: string;
}

/** Starts a daemon and resolves once it listens. */
export async function startDaemon(
  settings: Settings,
  createLogger: CreateLogger,
  clock: Clock = systemClock,
): Promise<Daemon> {
  const store = new DisposableStore();
  try {
    const {statsd} = settings.metrics;
    const metrics = store.add(
      await createMetrics({statsd, host: settings.name}),
    );
    return await buildDaemon({
      settings,
      createLogger,
      clock,
      store,
      metrics,
    });
  } catch (error) {
    await store[Symbol.asyncDispose]();
    throw error;
  }
}

/** Dependencies shared by all components of a daemon. */
export interface DaemonParts {
  readonly settings: Settings;
  readonly createLogger: CreateLogger;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Owns the resources that the components open. */
  readonly store: DisposableStore;
}

async function buildDaemon(parts: DaemonParts): Promise<Daemon> {
  const {settings, createLogger, clock, store} = parts;
  const secrets = await readSecrets(settings.secrets);
  const refusals = new RefusalLog({clock, logger: createLogger('peers')});
  const links = store.add(
    new PeerLinks({
      secret: secrets.peer,
      clock,
      calls: PEER_CALLS,
      replySchemas: peerReplySchemas,
      refusals,
    }),
  );
  const replicas = await openReplicas(parts, links);
  const endpoints = new EndpointTable(clock);
  const evidence = new EvidenceLedger(clock);
  const demand = new DemandTable(clock);
  let relay: LeaseRelay | null = null;
  let exchange: RecordExchange | null = null;
  const service = createPeerService({
    replicas,
    endpoints,
    evidence,
    demand,
    renewLease: async request => relay?.renew(request) ?? {type: 'unavailable'},
    exchange: async request =>
      exchange?.receive(request) ?? {accepted: 0, unknown: []},
  });
  const callReplica = createReplicaCaller(settings, links, service);
  relay = openLeaseRelay(parts, replicas, callReplica);
  const listReplicas = () => listReplicasByDistance(settings);
  const proposeRemotely = batchProposals((name, request, timeoutMs) =>
    callReplica(name).proposeAll(request, timeoutMs),
  );
  const propose = createProposer({
    listReplicas,
    call: (name, request, timeoutMs) =>
      name === settings.name
        ? service.propose(request)
        : proposeRemotely(name, request, timeoutMs),
    clock,
  });
  let isShuttingDown = false;
  const incarnation = createIdentifier('inc');
  const collector = new EvidenceCollector(settings.name, incarnation);
  const lease = store.add(
    new ConfigurationLease({
      clock,
      logger: createLogger('lease'),
      incarnation,
      describeHost: () => describeHost(settings, isShuttingDown),
      renew: createLeaseRenewal({
        clock,
        listReplicas,
        ask: (name, request, timeoutMs) =>
          callReplica(name).renewLease(request, timeoutMs),
      }),
    }),
  );
  const exchangeParts = {lease, links, endpoints};
  const records = openExchange(parts, exchangeParts);
  exchange = records;
  const context = createRequestContext(parts, {
    ledger: createLedgerClient({
      groupCount: settings.ledger_groups,
      propose,
      gateway: formatGateway({name: settings.name, incarnation}),
    }),
    evidence: collector,
    getView: () => lease.getView(),
    listEndpoints: () => endpoints.list(),
    countGateways: () =>
      lease.listHosts().filter(host => host.gateway && !host.leaving).length,
  });
  const {headerBytes, ...memoryBounds} = computeMemoryBounds(
    settings.host.memory_mib,
  );
  const memory = new MemoryAccount({
    clock,
    metrics: parts.metrics,
    ...memoryBounds,
    kindBytes: {header: headerBytes},
  });
  store.add(startMemoryReport({memory, clock, logger: createLogger('memory')}));
  const [peerHost, peerPort] = splitAddress(settings.listen.peers);
  store.add(
    await startPeerServer({
      host: peerHost,
      port: peerPort,
      secret: secrets.peer,
      service,
      schemas: peerSchemas,
      refusals,
      memory,
    }),
  );
  const [publicHost, publicPort] = splitAddress(settings.listen.public);
  const publicServer = store.add(
    await startPublicServer({
      host: publicHost,
      port: publicPort,
      clock,
      memory,
      logger: createLogger('http'),
      operatorSecret: secrets.operator,
      endpointSecret: secrets.endpoint,
      context,
      operators: createOperatorService({
        propose: command => propose(CONTROL_GROUP, command),
        proposeToLedger: propose,
        listReplicas,
        callReplica,
        clock,
        lease,
        replicas,
        endpoints,
        ledgerGroups: settings.ledger_groups,
      }),
      listHosts: () => lease.listHosts(),
      announce: announcement => records.announce(announcement),
      isOpen: () => settings.gateway && !isShuttingDown,
    }),
  );
  replicas.start();
  relay?.start();
  startSweepers(parts, replicas, {listReplicas, callReplica});
  lease.start();
  store.add(startGauges({context, metrics: parts.metrics, clock}));
  records.start();
  startEndpointRebuild(parts, exchangeParts);
  startRollouts(parts, {
    replicas,
    lease,
    collector,
    evidence,
    listReplicas,
    callReplica,
  });
  startPlacement(parts, {replicas, endpoints, demand, secrets});
  createLogger('daemon').info('Started.', {
    name: settings.name,
    public: settings.listen.public,
    peers: settings.listen.peers,
  });
  const shutDown = async () => {
    isShuttingDown = true;
    await lease.renewOnce().catch(() => {});
    await finishRequests(publicServer, clock);
    await context.settler.waitUntilSettled();
    await store[Symbol.asyncDispose]();
  };
  return {name: settings.name, [Symbol.asyncDispose]: shutDown};
}

/** Gives callers time to switch gateways, then waits for open requests. */
async function finishRequests(
  server: PublicServer,
  clock: Clock,
): Promise<void> {
  await clock.sleep(SHUTDOWN_NOTICE_MS);
  server.closeIdleConnections();
  await server.waitUntilIdle();
}

function describeHost(settings: Settings, leaving: boolean): Host {
  return {
    name: settings.name,
    region: settings.region,
    dataCentre: settings.data_centre,
    publicAddress: settings.advertise.public ?? settings.listen.public,
    peerAddress: settings.advertise.peers ?? settings.listen.peers,
    gateway: settings.gateway,
    leaving,
  };
}
