/** Core daemons whose followers and configuration tests set. */
import {silentLogger} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {CoreState} from '../core/core_state.ts';
import {createGatewayReport} from '../core/gateway_report_fake.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {SimulatedDisk} from '../simulation/simulated_disk.ts';
import {createConfirmService, type ConfirmService} from './confirm_service.ts';
import {Confirmer, type ConfirmOutcome} from './confirmer.ts';
import {FollowerTable} from './follower_table.ts';
import {SavedEndpoints} from './saved_endpoints.ts';

/** The time of a call between core daemons, in ms. */
const CALL_MS = 5;

/** A core daemon whose configuration tests set. */
export interface FakeDaemon {
  readonly state: CoreState;
  readonly followers: FollowerTable;
  readonly confirm: ConfirmService;
  readonly configuration: {revision: number};
  readonly disk: SimulatedDisk;
  isDown: boolean;
  /** How long its replies are on their way, in ms; 0 by default. */
  replyMs: number;
  /** Whether it does not know the call. */
  isEarlier: boolean;
  /** Whether its replies do not tell what its disk holds. */
  hidesDisk: boolean;
}

export class FakeCores {
  readonly clock = new SimulatedClock();
  readonly daemons = new Map<string, FakeDaemon>();
  /** The daemons that were called, in order. */
  readonly calls: string[] = [];
  private readonly confirmer: Confirmer;

  constructor(names: readonly string[]) {
    const {clock} = this;
    for (const name of names) this.daemons.set(name, this.createDaemon(name));
    const first = this.get(names[0] ?? '');
    this.confirmer = new Confirmer({
      clock,
      logger: silentLogger,
      metrics: silentMetrics,
      confirm: first.confirm,
      self: names[0] ?? '',
      listCores: () => names,
      listSilent: () => [],
      passOn: async (address, departures) =>
        this.get(address).state.mergeExchange(
          {cores: [], gateways: [], reports: [...departures]},
          'c1',
        ),
      listGateways: withinMs => first.state.gateways.listRecent(withinMs),
      call: async (address, request, timeoutMs) => {
        const daemon = this.get(address);
        this.calls.push(address);
        await clock.sleep(daemon.isDown ? timeoutMs : CALL_MS);
        if (daemon.isDown) throw new Error('timed out');
        if (daemon.isEarlier) return null;
        const {savedRevision, ...reply} = await daemon.confirm(request);
        if (daemon.replyMs > 0) await clock.sleep(daemon.replyMs);
        return daemon.hidesDisk ? reply : {...reply, savedRevision};
      },
    });
  }

  get(name: string): FakeDaemon {
    const daemon = this.daemons.get(name);
    if (!daemon) throw new Error(`Could not find "${name}"`);
    return daemon;
  }

  /** Lets a gateway call a daemon with what it has. */
  follow(
    name: string,
    gateway: string,
    has: {
      configuration: number;
      endpoints?: number;
      epoch?: string;
      leaves?: boolean;
      run?: string;
    },
  ): void {
    const {followers, state} = this.get(name);
    const report = createGatewayReport({address: gateway});
    state.gateways.recordDirect(report);
    followers.record({
      report,
      run: has.run,
      epoch: has.epoch ?? `${name}/1`,
      endpointRevision: has.endpoints ?? 0,
      configurationRevision: has.configuration,
      leaves: has.leaves,
    });
  }

  /** Lets a gateway tell the daemon that it follows that it has stopped. */
  stop(name: string, gateway: string, has: {configuration: number}): void {
    this.follow(name, gateway, {...has, leaves: true});
    const report = createGatewayReport({address: gateway, stopped: true});
    this.get(name).state.gateways.recordDirect(report);
  }

  /** Waits until gateways obey a configuration or a departure. */
  start(revision: number, departures = [] as string[]) {
    const result: {outcome: ConfirmOutcome | null; tookMs: number} = {
      outcome: null,
      tookMs: NaN,
    };
    const startedAt = this.clock.monotonic();
    void this.confirmer
      .waitUntilObeyed({
        kind: 'configuration',
        change: 'x',
        configurationRevision: revision,
        departures: departures.map(id =>
          createEndpoint(id, {state: 'draining', sequence: 9}),
        ),
      })
      .then(outcome => {
        result.outcome = outcome;
        result.tookMs = this.clock.monotonic() - startedAt;
      });
    return result;
  }

  private createDaemon(name: string): FakeDaemon {
    const {clock} = this;
    const self = {
      address: name,
      region: 'r',
      dataCentre: 'a',
      controlAddress: '',
    };
    const state = new CoreState({clock, logger: silentLogger, self});
    const followers = new FollowerTable({clock, epoch: `${name}/`});
    const configuration = {revision: 2};
    const disk = new SimulatedDisk();
    const journal = disk.createJournal({clock, isAlive: () => true});
    const {endpoints} = state;
    const confirm = createConfirmService({
      state,
      followers,
      saved: new SavedEndpoints({clock, endpoints, journal}),
      clock,
      getConfiguration: () => configuration,
    });
    return {
      state,
      followers,
      confirm,
      configuration,
      disk,
      isDown: false,
      replyMs: 0,
      isEarlier: false,
      hidesDisk: false,
    };
  }
}
