/** The state of a core daemon that is not part of the replicated log. */
import type {Clock} from '../../protocol/clock.ts';
import type {
  CoreDaemon,
  CoreExchange,
  CoreExchangeReply,
  LeavingEndpoint,
} from '../../protocol/core_service.ts';
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import {CoreSuspects} from '../quarantine/core_suspects.ts';
import {createNotifier, type Notifier} from '../notifier.ts';
import {CoreMembers} from './core_members.ts';
import {EndpointLimitTable} from './endpoint_limit_table.ts';
import type {EntryMeter} from './entry_meter.ts';
import {
  dropSilentFlag,
  EndpointRegistry,
  type ReportOutcome,
} from './endpoint_registry.ts';
import {GatewayDirectory} from './gateway_directory.ts';
import {createStartKey} from '../quarantine/endpoint_ends.ts';

/** Daemons that contacted this one within this time are advertised to peers. */
const ADVERTISE_WITHIN_MS = 10_000;

export interface CoreStateOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: CoreDaemon;
  /** Counts what is told; by default nothing does. */
  readonly entries?: EntryMeter | undefined;
}

/** Holds the tables of one daemon and notifies waiting tasks of changes. */
export class CoreState {
  readonly members: CoreMembers;
  readonly endpoints: EndpointRegistry;
  readonly limits: EndpointLimitTable;
  readonly suspects: CoreSuspects;
  readonly gateways: GatewayDirectory;
  /** Notified when something changed that gateways need to know. */
  readonly changes: Notifier;
  /** Notified when a change must reach the other daemons without delay. */
  readonly urgentChanges: Notifier;
  private readonly pendingReports = new Map<string, EndpointReport>();

  constructor(private readonly options: CoreStateOptions) {
    const {clock, self} = options;
    this.members = new CoreMembers({clock, self});
    this.endpoints = new EndpointRegistry({clock});
    this.limits = new EndpointLimitTable({clock});
    this.changes = createNotifier(clock);
    this.urgentChanges = createNotifier(clock);
    this.suspects = new CoreSuspects({
      clock,
      logger: options.logger,
      entries: options.entries,
      listStarts: service => this.endpoints.listStarts(service),
      onChange: () => this.changes.notify(),
      onUrgent: () => this.urgentChanges.notify(),
    });
    this.gateways = new GatewayDirectory({
      clock,
      onClosing: () => this.changes.notify(),
      onUrgent: () => this.urgentChanges.notify(),
      onLeaving: leaving => this.applyLeaving(leaving),
      onLimits: (limits, receivedAt) => {
        const isUrgent = this.limits.merge(limits, receivedAt);
        if (isUrgent) this.changes.notify();
        return isUrgent;
      },
      onSuspects: (records, {atMs, isDirect}) => {
        if (isDirect) this.suspects.record(records, atMs);
        else this.suspects.merge(records, atMs);
      },
    });
  }

  get self(): CoreDaemon {
    return this.options.self;
  }

  /** Records a report that an endpoint sent to this daemon. */
  recordReport(report: EndpointReport): ReportOutcome {
    const outcome = this.applyReport(report, {from: 'itself'});
    if (outcome === 'ignored') return outcome;
    this.relayLater(report.id);
    if (outcome === 'changed') this.urgentChanges.notify();
    return outcome;
  }

  /** Records departures that another daemon is to acknowledge, and relays them. */
  recordDepartures(reports: readonly EndpointReport[]): void {
    for (const report of reports) {
      const outcome = this.applyReport(report, {from: 'an acknowledgement'});
      if (outcome === 'changed') this.relayLater(report.id);
    }
  }

  /**
   * Sends what is known of an endpoint to the other daemons with the next
   * exchange. That is not its last report: an earlier one may say that it left.
   */
  private relayLater(id: string): void {
    const entry = this.endpoints.find(id);
    if (entry) this.pendingReports.set(id, dropSilentFlag(entry));
  }

  /** Merges an exchange that another core daemon sent, and answers it. */
  receiveExchange(exchange: CoreExchange): CoreExchangeReply {
    this.members.recordDirect(exchange.from);
    this.mergeExchange(exchange, exchange.from.address);
    const reports = exchange.wantsAll ? this.endpoints.listReports() : [];
    return {
      cores: exchange.wantsAll ? this.listAdvertised() : [],
      reports,
      reportAges: this.endpoints.listReportAges(reports.map(({id}) => id)),
      gateways: exchange.wantsAll ? this.gateways.listAll() : [],
      suspects: exchange.wantsAll ? this.suspects.table.list() : [],
      readsSuspects: true,
    };
  }

  /** Merges the daemons, gateways and reports that a core daemon sent. */
  mergeExchange(update: CoreExchangeReply, from: string): void {
    this.members.recordAdvertised(update.cores);
    this.gateways.recordRelayed(update.gateways);
    if (update.suspects) {
      this.suspects.merge(update.suspects, this.options.clock.monotonic());
    }
    const ages = new Map(
      update.reportAges?.map(({id, ageMs}) => [id, ageMs] as const),
    );
    for (const report of update.reports) {
      this.applyReport(report, {from, ageMs: ages.get(report.id)});
    }
  }

  /**
   * Lists the reports that are saved for a restart. Endpoints that are gone belong
   * to them: late heartbeats may still arrive.
   */
  listSavedReports(): EndpointReport[] {
    return this.endpoints.listSavedReports();
  }

  /** Lists the core daemons to advertise to peers. */
  listAdvertised(): CoreDaemon[] {
    return this.members.listLive(ADVERTISE_WITHIN_MS);
  }

  /** Returns and clears the reports received since the last call. */
  takePendingReports(): EndpointReport[] {
    const reports = [...this.pendingReports.values()];
    this.pendingReports.clear();
    return reports;
  }

  /** Marks endpoints that leave; returns whether any was not known to. */
  private applyLeaving(leaving: readonly LeavingEndpoint[]): boolean {
    const newlyLeaving = leaving.filter(each =>
      this.endpoints.recordLeaving(each),
    );
    if (newlyLeaving.length === 0) return false;
    this.options.logger.info('Marks endpoints draining on a gateway report.', {
      endpoints: newlyLeaving.map(({id}) => id),
    });
    this.changes.notify();
    return true;
  }

  private applyReport(
    report: EndpointReport,
    {from, ageMs}: {from: string; ageMs?: number | undefined},
  ): ReportOutcome {
    const outcome = this.endpoints.record(report, ageMs);
    if (outcome !== 'ignored') {
      const aliveAt = this.options.clock.monotonic() - (ageMs ?? 0);
      this.suspects.recordAlive(createStartKey(report), aliveAt);
    }
    if (outcome !== 'changed') return outcome;
    const {id, service, address, version, state, startedAtMs, sequence} =
      report;
    this.options.logger.info('Records a new or changed endpoint.', {
      id,
      service,
      address,
      version,
      state,
      startedAtMs,
      sequence,
      from,
    });
    this.changes.notify();
    return outcome;
  }
}
