/**
 * What one core daemon has to tell another one: what changed since the last exchange
 * that the peer has answered.
 *
 * Gateways' reports are sent whole at an interval. Between two of them an urgent
 * exchange carries those reports only that tell something urgent.
 */
import type {
  CoreExchange,
  CoreExchangeReply,
} from '../../protocol/core_service.ts';
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import type {CoreState} from './core_state.ts';
import {addSuspects} from './earlier_exchange.ts';

/**
 * How often the known daemons are advertised to a peer. That need not be
 * frequent, since every daemon also contacts the others itself.
 */
const ADVERTISE_INTERVAL_MS = 4_000;

/** An exchange that is on its way. */
export interface SentExchange {
  readonly content: CoreExchange;
  readonly startedAt: number;
  readonly isWhole: boolean;
  readonly isAdvertising: boolean;
  readonly suspectRevision: number;
}

export interface CreateExchangeOptions {
  readonly now: number;
  /** The interval between two times at which all gateways' reports are sent, in ms. */
  readonly intervalMs: number;
  /** Whether to ask for all that the peer knows. */
  readonly wantsAll: boolean;
}

export class PeerOutbox {
  /** Reports that the peer has not acknowledged, by endpoint. */
  private readonly reports = new Map<string, EndpointReport>();
  /** Since when the peer lacks reports of gateways, and urgent ones. */
  private gatewaysSince = -Infinity;
  private urgentSince = -Infinity;
  private suspectRevision = 0;
  private advertisedAt = -Infinity;
  /** Whether the peer reads suspects beside the reports of gateways. */
  private readsSuspects = false;

  constructor(private readonly state: CoreState) {}

  add(reports: readonly EndpointReport[]): void {
    for (const report of reports) this.reports.set(report.id, report);
  }

  createExchange({
    now,
    intervalMs,
    wantsAll,
  }: CreateExchangeOptions): SentExchange {
    const {endpoints, gateways, suspects} = this.state;
    const isAdvertising = now - this.advertisedAt >= ADVERTISE_INTERVAL_MS;
    // Daemons of earlier versions read suspects in the reports alone.
    const isWhole =
      !this.readsSuspects || now - this.gatewaysSince >= intervalMs;
    const reports = [...this.reports.values()];
    const content: CoreExchange = {
      from: this.state.self,
      cores: isAdvertising ? this.state.listAdvertised() : [],
      reports,
      reportAges: endpoints.listReportAges(reports.map(({id}) => id)),
      gateways: isWhole
        ? gateways.listDirect(this.gatewaysSince)
        : gateways.listUrgent(this.urgentSince),
      suspects: suspects.listOwn(this.suspectRevision),
      wantsAll,
    };
    return {
      content: this.readsSuspects ? content : addSuspects(content),
      startedAt: now,
      isWhole,
      isAdvertising,
      suspectRevision: suspects.table.revision,
    };
  }

  /** Records that the peer has an exchange. */
  recordReply(
    {content, startedAt, ...sent}: SentExchange,
    {readsSuspects = false}: CoreExchangeReply,
  ): void {
    for (const report of content.reports) {
      if (this.reports.get(report.id) === report) {
        this.reports.delete(report.id);
      }
    }
    this.urgentSince = startedAt;
    if (sent.isWhole) this.gatewaysSince = startedAt;
    if (sent.isAdvertising) this.advertisedAt = startedAt;
    this.suspectRevision = sent.suspectRevision;
    this.readsSuspects = readsSuspects;
  }
}
