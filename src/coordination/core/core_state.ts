/** What a daemon of the core knows beside the replicated log. */
import type {Clock} from '../../protocol/clock.ts';
import type {
  CoreDaemon,
  CoreExchange,
  CoreExchangeReply,
  LeavingEndpoint,
} from '../../protocol/core_service.ts';
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import {createNotifier, type Notifier} from '../notifier.ts';
import {CoreMembers} from './core_members.ts';
import {EndpointRegistry, type ReportOutcome} from './endpoint_registry.ts';
import {GatewayDirectory} from './gateway_directory.ts';

/** A daemon that was heard within this time is mentioned to others. */
const MENTION_MS = 10_000;

export interface CoreStateOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: CoreDaemon;
}

/** Gathers the tables of one daemon and tells those that wait of changes. */
export class CoreState {
  readonly members: CoreMembers;
  readonly endpoints: EndpointRegistry;
  readonly gateways: GatewayDirectory;
  /** Notified when gateways need to know something new. */
  readonly changes: Notifier;
  /** Notified when other daemons need to know something at once. */
  readonly news: Notifier;
  private readonly reports = new Map<string, EndpointReport>();

  constructor(private readonly options: CoreStateOptions) {
    const {clock, self} = options;
    this.members = new CoreMembers({clock, self});
    this.endpoints = new EndpointRegistry({clock});
    this.changes = createNotifier(clock);
    this.news = createNotifier(clock);
    this.gateways = new GatewayDirectory({
      clock,
      onClosing: ({isDirect}) => {
        this.changes.notify();
        if (isDirect) this.news.notify();
      },
      onLeaving: leaving => this.takeLeaving(leaving),
    });
  }

  get self(): CoreDaemon {
    return this.options.self;
  }

  /** Takes in what an endpoint says to this daemon. */
  recordReport(report: EndpointReport): ReportOutcome {
    const outcome = this.takeReport(report, 'itself');
    if (outcome === 'ignored') return outcome;
    this.reports.set(report.id, report);
    if (outcome === 'changed') this.news.notify();
    return outcome;
  }

  /** Takes in what another daemon of the core knows, and answers it. */
  receiveExchange(exchange: CoreExchange): CoreExchangeReply {
    this.members.recordHeard(exchange.from);
    this.takeIn(exchange, exchange.from.address);
    return {
      cores: exchange.wantsAll ? this.listMentioned() : [],
      reports: exchange.wantsAll ? this.endpoints.listReports() : [],
      gateways: exchange.wantsAll ? this.gateways.listAll() : [],
    };
  }

  /** Takes in what another daemon of the core sent. */
  takeIn(news: CoreExchangeReply, from: string): void {
    this.members.recordMentioned(news.cores);
    this.gateways.recordRelayed(news.gateways);
    for (const report of news.reports) this.takeReport(report, from);
  }

  /** The daemons of the core that others should know of. */
  listMentioned(): CoreDaemon[] {
    return this.members.listLive(MENTION_MS);
  }

  /** Returns the reports that came since the last call. */
  takeReports(): EndpointReport[] {
    const reports = [...this.reports.values()];
    this.reports.clear();
    return reports;
  }

  private takeLeaving(leaving: readonly LeavingEndpoint[]): void {
    const news = leaving.filter(each => this.endpoints.recordLeaving(each));
    if (news.length === 0) return;
    this.options.logger.info('Learns from a gateway that endpoints leave.', {
      endpoints: news.map(({id}) => id),
    });
    this.changes.notify();
    this.news.notify();
  }

  private takeReport(report: EndpointReport, from: string): ReportOutcome {
    const outcome = this.endpoints.record(report);
    if (outcome !== 'changed') return outcome;
    const {id, service, address, version, state, startedAtMs, sequence} =
      report;
    this.options.logger.info('Learns of an endpoint.', {
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
