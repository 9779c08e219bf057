/** Runs the gateway components of a site daemon. */
import {randomBytes} from 'node:crypto';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {createColdStart} from '../../coordination/cold_start/create_cold_start.ts';
import {EndpointSpeeds} from '../../coordination/endpoint_speed/endpoint_speeds.ts';
import {createAdmissionHooks} from '../../coordination/fair_admission/create_admission_hooks.ts';
import {AnswerBudget} from '../../coordination/forwarding/answer_budget.ts';
import {EndpointHealth} from '../../coordination/forwarding/endpoint_health.ts';
import {createDrainRule} from '../../coordination/evacuation/drain_rule.ts';
import {EndpointRules} from '../../coordination/selection/endpoint_rules.ts';
import {EndpointLimits} from '../../coordination/forwarding/endpoint_limits.ts';
import {EndpointNotices} from '../../coordination/forwarding/endpoint_notices.ts';
import {Forwarder} from '../../coordination/forwarding/forwarder.ts';
import {listRunningStarts} from '../../coordination/quarantine/endpoint_ends.ts';
import {Quarantine} from '../../coordination/quarantine/quarantine.ts';
import {createTrialClient} from '../../coordination/quarantine/trial_client.ts';
import {PrefillBacklog} from '../../coordination/forwarding/prefill_backlog.ts';
import {CallRelay} from '../../coordination/reach/call_relay.ts';
import {Reachability} from '../../coordination/reach/reachability.ts';
import {RecentGateways} from '../../coordination/forwarding/recent_gateways.ts';
import {VersionEvidenceCounter} from '../../coordination/forwarding/version_evidence.ts';
import {HomeRegions} from '../../coordination/homes/home_regions.ts';
import {ViewConfirmation} from '../../coordination/confirmation/view_confirmation.ts';
import {startPeriodicTask} from '../../coordination/periodic_task.ts';
import {CoreFollower} from '../../coordination/gateway/core_follower.ts';
import {GatewayView} from '../../coordination/gateway/gateway_view.ts';
import {
  HostWatch,
  TICK_MS,
} from '../../coordination/host_capacity/host_watch.ts';
import {hasUnevenHosts} from '../../coordination/host_capacity/draw_gateways.ts';
import {replaceGateway} from '../../coordination/membership/select_gateways.ts';
import type {HostLimits} from '../../coordination/host_capacity/compute_capacity.ts';
import {splitAddress} from '../../protocol/address.ts';
import type {SiteSettings} from '../../protocol/site_settings.ts';
import {EndpointClient} from '../../transport/forwarding/endpoint_client.ts';
import {GatewayClient} from '../../transport/forwarding/gateway_client.ts';
import {testAddress} from '../../transport/forwarding/probe_address.ts';
import {
  startFrontServer,
  type FrontServer,
} from '../../transport/forwarding/front_server.ts';
import {
  listSeedPeers,
  startDirectory,
  startSurface,
  type SiteParts,
} from './site_parts.ts';
import {stopGateway} from './stop_gateway.ts';

/** The interval between two checks of the age of the view. */
const VIEW_CHECK_MS = 1_000;

/**
 * How old a confirmed view may be for the loads of other gateways to count in
 * fair admission: two reports, each at most 0.8 s apart.
 */
const LOADS_VALID_MS = 1_800;

/** Tells a run of a gateway from the one before; sent with each call of the core. */
const RUN_BYTES = 4;

/** How long a gateway that has stopped waits until the core knows. */
const LEAVE_WITHIN_MS = 150;

/** A running gateway. */
export interface SiteGateway {
  /** Leaves the gateway directory and waits for open requests. */
  stop(): Promise<void>;
}

/** Starts following the core and serving callers. */
export async function startGateway(
  parts: SiteParts,
  front: string,
): Promise<SiteGateway> {
  const {clock, store, surfaces, createLogger, links, getSettings} = parts;
  const settings = getSettings();
  const {region, data_centre: dataCentre, bounds} = settings;
  const features = surfaces.decodeFeatures(settings.contracts);
  let isStopping = false;
  let hasStopped = false;
  let server: FrontServer | null = null;
  const health = new EndpointHealth(clock);
  const speeds = new EndpointSpeeds(clock);
  const notices = new EndpointNotices({clock, logger: createLogger('forward')});
  const evidence = new VersionEvidenceCounter();
  const prefillBacklog = new PrefillBacklog(clock);
  const client = store.add(new EndpointClient({codec: surfaces.codec}));
  const answers = new AnswerBudget({
    clock,
    logger: createLogger('forward'),
    metrics: parts.metrics,
    account: parts.host.memory,
  });
  const view = new GatewayView({
    logger: createLogger('view'),
    decodeTable: surfaces.decodeTable,
    onConfiguration: ({table}) => {
      server?.setLimits(table.limits);
      homes.checkTable(table);
    },
    onRestored: dataCentres => treatAsCold(dataCentres),
    onEndpoint: entry => cold.record(entry),
    onLimits: relayed => limits.recordRelayed(relayed),
    onSuspects: relayed => quarantine.recordRelayed(relayed),
  });
  const findRegion = (name: string) =>
    name === dataCentre ? region : (getSettings().data_centres[name] ?? null);
  const homes = new HomeRegions({
    logger: createLogger('forward'),
    metrics: parts.metrics,
    view,
    findRegion,
    listRegions: () => [region, ...Object.values(getSettings().data_centres)],
  });
  const quarantine = new Quarantine({
    clock,
    logger: createLogger('forward'),
    metrics: parts.metrics,
    trials: createTrialClient({
      clock,
      logger: createLogger('forward'),
      listCores: () => view.cores.map(({address}) => address),
      getService: address => links.get(address),
    }),
    listStarts: service =>
      listRunningStarts(view.listEndpoints(service), service),
    onObservation: () => follower.reportSoon(),
  });
  const gateways = new RecentGateways({
    clock,
    listGateways: () => view.openGateways,
  });
  const limits = new EndpointLimits({
    clock,
    logger: createLogger('forward'),
    metrics: parts.metrics,
    random: Math.random,
    address: front,
    gateways,
  });
  const cold = createColdStart({
    clock,
    logger: createLogger('cold'),
    metrics: parts.metrics,
    random: Math.random,
    bounds,
    address: front,
    listGateways: () => view.openGateways,
    findService: name => view.routes?.findService(name) ?? null,
    findRegion,
  });
  // The endpoints may have become cold while their data centre was drained.
  const treatAsCold = (dataCentres: readonly string[]) => {
    for (const endpoint of view.listEndpointsIn(dataCentres)) {
      const service = view.routes?.findService(endpoint.service);
      cold.treatAsCold([endpoint], service?.coldStart?.durationMs ?? 0);
    }
  };
  const isOpen = () => !isStopping && view.routes !== null;
  const ticks = monitorEventLoopDelay({resolution: TICK_MS});
  const hostWatch = store.add(
    new HostWatch({
      clock,
      logger: createLogger('host'),
      metrics: parts.metrics,
      getLimits: () => decodeHostLimits(getSettings().host),
      isNeeded: () => hasUnevenHosts(view.openGateways),
      ticks,
      readUsage: () => process.cpuUsage(),
      readMemoryBytes: () => process.memoryUsage.rss(),
      countOpenRequests: () => server?.openRequests ?? 0,
      onChange: () => follower.reportSoon(),
    }),
  );
  const describeSelf = () => ({
    address: front,
    region,
    dataCentre,
    open: isOpen(),
    ...hostWatch.describe(),
    ...(hasStopped ? {stopped: true} : {}),
    ...cold.describeDemand(),
  });
  const pruneEnded = () => {
    notices.pruneEnded(id => view.findEndpoint(id));
    limits.pruneEnded(id => view.findEndpoint(id));
    cold.pruneEnded(id => view.findEndpoint(id));
    speeds.pruneEnded(id => view.findEndpoint(id));
  };
  const follower = new CoreFollower({
    view,
    clock,
    logger: createLogger('follower'),
    run: randomBytes(RUN_BYTES).toString('hex'),
    listSeeds: () => listSeedPeers(getSettings()),
    region,
    dataCentre,
    random: Math.random,
    createReport: () => {
      pruneEnded();
      const isRunning = (service: string) =>
        view.findRollout(service)?.state === 'running';
      return {
        gateway: describeSelf(),
        loads: health.listLoads(start => prefillBacklog.getPendingMs(start)),
        evidence: evidence.list(isRunning),
        paces: evidence.listPaces(isRunning),
        leaving: notices.listLeaving(),
        limits: limits.listObserved(),
        suspects: [],
      };
    },
    listObserved: revision => quarantine.listObservedAfter(revision),
    onConfirmed: sentAt => {
      confirmation.record(sentAt);
      cold.recordContact(sentAt);
    },
    onEpoch: () => quarantine.reportAll(),
    call: (address, request, timeoutMs) =>
      links.get(address).follow(request, timeoutMs),
  });
  const confirmation = new ViewConfirmation({
    clock,
    logger: createLogger('view'),
    metrics: parts.metrics,
    ask: () => follower.askNow(),
  });
  store.add(
    startPeriodicTask({
      clock,
      intervalMs: VIEW_CHECK_MS,
      step: async () => {
        confirmation.check();
        cold.update();
      },
      onError: ({message: reason}) =>
        createLogger('view').warn('Could not check the view.', {reason}),
    }),
  );
  const reach = new Reachability({
    clock,
    logger: createLogger('forward'),
    metrics: parts.metrics,
    random: Math.random,
    listEndpoints: service => view.listEndpoints(service),
    probe: testAddress,
    onFound: service => health.dropFailures(view.listEndpoints(service)),
  });
  const {codec} = surfaces;
  const gatewayClient = store.add(
    new GatewayClient({codec, secret: parts.secret}),
  );
  const relay = new CallRelay({
    clock,
    logger: createLogger('forward'),
    metrics: parts.metrics,
    random: Math.random,
    reach,
    listGateways: () => view.openGateways,
    findHomes: run => homes.find(run),
    address: front,
    region,
    dataCentre,
    send: async (call, options) =>
      answers.admit(
        {endpoint: options.address, signal: options.signal},
        await gatewayClient.send(call, options),
      ),
  });
  const rules = new EndpointRules([
    limits,
    cold.rule,
    homes,
    createDrainRule({view, metrics: parts.metrics}),
  ]);
  const hooks = createAdmissionHooks({
    sendsRanks: features.hasFairAdmission,
    isOn: settings.routing.fair_admission,
    view,
    health,
    notices,
    rules,
    prefillBacklog,
    clock,
    logger: createLogger('forward'),
    metrics: parts.metrics,
    random: Math.random,
    isViewFresh: () => confirmation.ageMs <= LOADS_VALID_MS,
    send: async (call, options) =>
      answers.admit(
        {endpoint: options.endpoint.id, signal: options.signal},
        await client.send(call, options),
      ),
  });
  const forwarder = new Forwarder({
    view,
    ensureView: () => confirmation.ensure(),
    health,
    reach,
    notices,
    limits,
    rules,
    speeds,
    weighsCachedPrefixes:
      settings.routing.weighs_cached_prefixes || features.weighsCachedPrefixes,
    quarantine,
    relay,
    gateways,
    evidence,
    prefillBacklog,
    clock,
    logger: createLogger('forward'),
    metrics: parts.metrics,
    random: Math.random,
    ...hooks,
    region,
    dataCentre,
    findRegion,
    retryRatio: bounds.retry_ratio,
    retryExtra: bounds.retry_extra,
    retryWindowMs: bounds.retry_window_s * 1_000,
  });
  const [host, port] = splitAddress(front);
  server = store.add(
    await startFrontServer({
      host,
      port,
      clock,
      logger: createLogger('front'),
      codec,
      secret: parts.secret,
      memory: parts.host.memory,
      maxConnections: parts.host.connections.front,
      forward: (call, sink) => {
        cold.recordRequest();
        return forwarder.forward(call, sink);
      },
      needsDigest: () => quarantine.countRecords().suspects > 0,
    }),
  );
  const running = server;
  // Callers are not sent to a gateway that cannot accept them.
  const isReady = () => isOpen() && running.hasRoom;
  await startSurface(parts, 'ready', surfaces.createReadyRoutes(isReady));
  // Lets callers discover gateways while the core is unavailable.
  await startDirectory(parts, {
    listGateways: () => replaceGateway(view.openGateways, describeSelf()),
    getTable: () => view.routes?.table ?? null,
  });
  hostWatch.start();
  follower.start();
  store.add(follower);
  return {
    async stop() {
      isStopping = true;
      await stopGateway({
        clock,
        graceMs: bounds.grace_s * 1_000,
        server: running,
        forwarder,
        report: () => follower.reportOnce(),
      });
      hasStopped = true;
      await Promise.race([follower.leave(), clock.sleep(LEAVE_WITHIN_MS)]);
    },
  };
}

function decodeHostLimits(host: SiteSettings['host']): HostLimits {
  return {
    cpuShare: host.cpu_share,
    memoryMib: host.memory_mib,
    descriptors: host.descriptors,
    linkMbps: host.link_mbps,
  };
}
