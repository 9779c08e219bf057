/**
 * A replicated core, the views of gateways that follow it, and endpoints that
 * report to it, in one process on a simulated clock.
 *
 * Meant for tests of how a change reaches the gateways: each daemon runs the
 * tasks of a real one, and can be killed, frozen and cut off.
 */
import type {Configuration, CoreDaemon} from '../../protocol/core_service.ts';
import {silentLogger, type Logger} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import type {ProposeReply} from '../../protocol/peer_service.ts';
import type {RoutingCommand} from '../../protocol/routing_commands.ts';
import {FollowerTable} from '../confirmation/follower_table.ts';
import {Confirmer} from '../confirmation/confirmer.ts';
import {
  createConfirmService,
  type ConfirmService,
} from '../confirmation/confirm_service.ts';
import {SavedEndpoints} from '../confirmation/saved_endpoints.ts';
import {CoreApi} from '../core/core_api.ts';
import {CoreState} from '../core/core_state.ts';
import {startExchange} from '../core/exchange_task.ts';
import {createFollowService, SILENT_AFTER_MS} from '../core/follow_service.ts';
import {createJoinedPropose} from '../orders/join_proposals.ts';
import {startPeriodicTask} from '../periodic_task.ts';
import {createProposer} from '../replication/proposer.ts';
import {SimulatedGroup} from '../replication/simulated_group.ts';
import {HostClock} from '../replication/simulated_host.ts';
import {createControlGateway, type ControlGateway} from './control_gateway.ts';
import {
  ControlNetwork,
  type ControlCall,
  type SimulatedProcess,
} from './control_network.ts';
import {ProcessorPool, type Prices} from './priced_processor.ts';
import {SimulatedDisk} from './simulated_disk.ts';
import {TrafficRecord} from './traffic_record.ts';

const GROUP = 'routing';

/** How many daemons of the core are seeds. */
const SEED_COUNT = 3;

/** The timeout for a proposal and the interval of sweeps, as in `serve_site`. */
const PROPOSE_DEADLINE_MS = 2_500;
const SWEEP_MS = 500;

export interface Place {
  readonly region: string;
  readonly dataCentre: string;
}

export interface ControlPlaneOptions {
  /** The places of the core daemons. */
  readonly cores: readonly Place[];
  /** The places of the gateways. */
  readonly gateways: readonly Place[];
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** Receives the log lines of all daemons, for the trace of a failure. */
  readonly trace?: ((line: string, fields?: object) => void) | undefined;
  /** What the work of daemons costs; by default nothing. */
  readonly prices?: Prices | undefined;
}

/** A run of a core daemon. */
export interface ControlCore extends SimulatedProcess {
  readonly state: CoreState;
  readonly api: CoreApi;
  readonly follow: ReturnType<typeof createFollowService>;
  readonly confirm: ConfirmService;
  readonly propose: (command: RoutingCommand) => Promise<ProposeReply>;
  readonly tasks: AsyncDisposable[];
}

export class ControlPlane {
  readonly group: SimulatedGroup;
  readonly network: ControlNetwork;
  /** The messages between daemons where they have a price. */
  readonly traffic: TrafficRecord;
  readonly coreNames: readonly string[];
  readonly cores = new Map<string, ControlCore>();
  readonly gateways: ControlGateway[] = [];
  readonly processors: ProcessorPool;
  private readonly disks = new Map<string, SimulatedDisk>();
  private runs = 0;

  constructor(private readonly options: ControlPlaneOptions) {
    const {cores, random, trace, prices} = options;
    this.coreNames = cores.map((_, index) => `10.0.0.${index + 1}:7340`);
    this.group = new SimulatedGroup({
      hosts: this.coreNames,
      voterCount: 5,
      spareCount: 2,
      bootstrapHostCount: SEED_COUNT,
      random,
      snapshotEntries: 200,
      getPlace: name => this.getCorePlace(name),
      onChange: name => this.cores.get(name)?.state.changes.notify(),
      ...(trace && {trace}),
    });
    const {clock} = this.group;
    this.traffic = new TrafficRecord(clock);
    this.network = new ControlNetwork({
      clock,
      random,
      prices,
      traffic: prices && this.traffic,
    });
    this.processors = new ProcessorPool({clock, prices});
    if (!prices) return;
    this.group.network.work = ({name}, content) =>
      this.processors.handleMessage(name, content);
    for (const name of this.coreNames) {
      this.processors.add(name, this.group.getHost(name).clock, 'core');
    }
  }

  get clock() {
    return this.group.clock;
  }

  /** Starts all daemons. */
  async start(): Promise<void> {
    await this.group.startAll();
    for (const name of this.coreNames) this.startCore(name);
    this.options.gateways.forEach((_, index) => this.startGateway(index));
  }

  /** Kills a core daemon; its disk is kept. */
  killCore(name: string): void {
    const core = this.cores.get(name);
    if (!core) return;
    this.cores.delete(name);
    core.isAlive = false;
    core.clock.resume();
    for (const task of core.tasks) void task[Symbol.asyncDispose]();
    this.group.crash(name);
  }

  /** Kills a core daemon and erases its disk. */
  wipeCore(name: string): void {
    this.killCore(name);
    this.group.loseDisk(name);
    this.getDisk(name).erase();
  }

  /** Starts a core daemon that was killed. */
  async restartCore(name: string): Promise<void> {
    if (this.cores.has(name)) return;
    await this.group.start(name);
    this.startCore(name);
  }

  /** Replaces the run of a gateway by a new one. */
  restartGateway(index: number): void {
    const gateway = this.gateways[index];
    if (!gateway) return;
    gateway.isAlive = false;
    gateway.clock.resume();
    gateway.follower[Symbol.dispose]();
    this.startGateway(index);
  }

  /** Cuts daemons off from the others until a time. */
  cutOff(addresses: readonly string[], untilMs: number): void {
    const all = [
      ...this.coreNames,
      ...this.gateways.map(({address}) => address),
    ];
    const others = all.filter(address => !addresses.includes(address));
    for (const address of addresses) {
      for (const other of others) this.network.cut(address, other, untilMs);
    }
  }

  /** Runs for a while; the checks of the group apply. */
  run(ms: number): Promise<void> {
    return this.group.run(ms);
  }

  /** Writes a line of the simulation itself beside those of the daemons. */
  trace(line: string, fields?: object): void {
    this.options.trace?.(`${this.clock.monotonic()} ${line}`, fields);
  }

  /** Returns the disk of a core daemon. */
  getDisk(name: string): SimulatedDisk {
    const disk = this.disks.get(name) ?? new SimulatedDisk();
    this.disks.set(name, disk);
    return disk;
  }

  private getCorePlace(name: string): Place {
    const place = this.options.cores[this.coreNames.indexOf(name)];
    if (!place) throw new Error(`Could not find the core daemon "${name}"`);
    return place;
  }

  private startCore(name: string): void {
    const {group, network} = this;
    const host = group.getHost(name);
    const {replica, clock} = host;
    if (!replica) throw new Error(`Could not start "${name}": it is down`);
    const epoch = `${name}/${this.runs++}/`;
    const followers = new FollowerTable({clock, epoch});
    const self: CoreDaemon = {
      address: name,
      ...this.getCorePlace(name),
      controlAddress: '',
      get followers() {
        return followers.count();
      },
      get fresh() {
        return replica.isFresh();
      },
    };
    const logger = this.createLogger(name);
    const state = new CoreState({clock, logger, self});
    state.members.setSeeds(this.coreNames.slice(0, SEED_COUNT));
    const disk = this.getDisk(name);
    disk.restore(state);
    const saved = new SavedEndpoints({
      clock,
      endpoints: state.endpoints,
      journal: disk.createJournal({clock, isAlive: () => core.isAlive}),
    });
    const call = <T>(
      address: string,
      message: Pick<ControlCall<ControlCore, T>, 'name' | 'request' | 'serve'>,
      timeoutMs: number,
    ) =>
      network.call({
        ...message,
        from: core,
        findReceiver: () => this.cores.get(address),
        timeoutMs,
      });
    const propose = createProposer({
      listReplicas: () => [name, ...state.members.listAddresses()],
      call: (address, request, timeoutMs) => {
        const serve = (to: ControlCore) =>
          to.propose(request.command as RoutingCommand);
        if (address === name) return serve(core);
        return call(address, {name: 'propose', request, serve}, timeoutMs);
      },
      hasContact: address => replica.leader === address,
      clock,
      deadlineMs: PROPOSE_DEADLINE_MS,
    });
    const readConfiguration = () => getConfiguration(group, name);
    const listVoters = () => replica.getStatus().voters.map(each => each.name);
    const confirm = createConfirmService({
      state,
      followers,
      saved,
      clock,
      getConfiguration: readConfiguration,
    });
    const core: ControlCore = {
      address: name,
      region: self.region,
      clock,
      isAlive: true,
      lagMs: 0,
      processor: this.processors.find(name),
      state,
      follow: createFollowService({
        state,
        clock,
        epoch,
        getConfiguration: readConfiguration,
        isFresh: () => replica.isFresh(),
        followers,
      }),
      api: new CoreApi({
        state,
        clock,
        logger,
        propose: (command, signal) => propose(GROUP, command, signal),
        read: () => Promise.reject(new Error('not simulated')),
        getLeader: () => replica.leader,
        getConfiguration: readConfiguration,
        confirmer: new Confirmer({
          clock,
          logger,
          metrics: silentMetrics,
          confirm,
          self: name,
          listCores: () => state.members.listGroup(listVoters()),
          listSilent: () =>
            state.members.listSilent(SILENT_AFTER_MS, listVoters()),
          listGateways: withinMs => state.gateways.listRecent(withinMs),
          call: (address, request, timeoutMs) =>
            call(
              address,
              {name: 'confirm', request, serve: to => to.confirm(request)},
              timeoutMs,
            ),
          passOn: () => Promise.reject(new Error('not simulated')),
        }),
      }),
      confirm,
      propose: createJoinedPropose({
        propose: async command => {
          const document = command.type === 'replace' ? command.document : '';
          const reply = await replica.propose(document);
          const {revision} = readConfiguration();
          const result = {type: 'accepted', revision};
          return reply.type === 'committed' ? {...reply, result} : reply;
        },
        isLeader: () => replica.isLeader(),
        getConfiguration: readConfiguration,
      }),
      tasks: [],
    };
    core.tasks.push(
      startExchange({
        state,
        clock,
        logger,
        call: (address, request, timeoutMs) =>
          call(
            address,
            {
              name: 'exchange',
              request,
              serve: async to => to.state.receiveExchange(request),
            },
            timeoutMs,
          ),
      }),
      startPeriodicTask({
        clock,
        intervalMs: SWEEP_MS,
        step: async () => {
          if (!core.isAlive) return;
          state.endpoints.sweep();
          saved.recordView(disk.saveView(state));
        },
        onError: error => {
          throw error;
        },
      }),
    );
    this.cores.set(name, core);
    this.trace(`${name} starts`);
  }

  private startGateway(index: number): void {
    const place = this.options.gateways[index];
    if (!place) throw new Error(`Could not find the gateway ${index}`);
    const address = `10.1.0.${index + 1}:80`;
    const clock = new HostClock(this.clock);
    const gateway = createControlGateway({
      address,
      place,
      clock,
      processor: this.processors.add(address, clock, 'gateway'),
      logger: this.createLogger(address),
      random: this.options.random,
      seeds: this.coreNames.slice(0, SEED_COUNT),
      hasRequests: this.options.prices !== undefined,
      follow: (core, request, timeoutMs) =>
        this.network.call({
          name: 'follow',
          request,
          from: gateway,
          findReceiver: () => this.cores.get(core),
          serve: to => to.follow(request),
          timeoutMs,
        }),
    });
    this.gateways[index] = gateway;
    gateway.follower.start();
  }

  private createLogger(name: string): Logger {
    const {trace} = this.options;
    if (!trace) return silentLogger;
    const write: Logger['info'] = (message, fields) =>
      trace(`${this.clock.monotonic()} ${name} ${message}`, fields);
    return {error: write, warn: write, info: write, debug: () => {}};
  }
}

/** Reads the highest of the versions that a replica has applied. */
function getConfiguration(group: SimulatedGroup, name: string): Configuration {
  const {commands} = group.getHost(name).recorder;
  const versions = commands.map(Number);
  const version = Math.max(0, ...versions);
  return {
    revision: versions.indexOf(version) + 1,
    version: version || null,
    document: version === 0 ? null : String(version),
    rollouts: [],
  };
}
