/** What gateways last said of themselves, to any daemon of the core. */
import type {Clock} from '../../protocol/clock.ts';
import type {
  AgedReport,
  EndpointLoad,
  Gateway,
  GatewayReport,
  VersionEvidence,
} from '../../protocol/core_service.ts';

/** A gateway reports at least each half second; four may be lost. */
const LIVE_MS = 2_500;

/** How long the evidence of a silent gateway still counts. */
const FORGET_AFTER_MS = 60_000;

interface Known {
  readonly report: GatewayReport;
  readonly heardAt: number;
  /** Whether the gateway said it here. */
  readonly isDirect: boolean;
}

export class GatewayDirectory {
  private readonly known = new Map<string, Known>();

  constructor(private readonly clock: Clock) {}

  /** Notes what a gateway says to this daemon. */
  recordDirect(report: GatewayReport): void {
    const heardAt = this.clock.monotonic();
    this.known.set(report.gateway.address, {report, heardAt, isDirect: true});
  }

  /** Notes what gateways said to another daemon, if it is news. */
  recordRelayed(reports: readonly AgedReport[]): void {
    for (const {report, ageMs} of reports) {
      const heardAt = this.clock.monotonic() - ageMs;
      const known = this.known.get(report.gateway.address);
      if (known && known.heardAt >= heardAt) continue;
      this.known.set(report.gateway.address, {
        report,
        heardAt,
        isDirect: false,
      });
    }
  }

  /** What gateways said here since `since`, on the monotonic clock. */
  listDirect(since: number): AgedReport[] {
    const now = this.clock.monotonic();
    return [...this.known.values()]
      .filter(({isDirect, heardAt}) => isDirect && heardAt >= since)
      .map(({report, heardAt}) => ({report, ageMs: now - heardAt}));
  }

  /** All that is known, for a daemon that just started. */
  listAll(): AgedReport[] {
    const now = this.clock.monotonic();
    return [...this.known.values()].map(({report, heardAt}) => ({
      report,
      ageMs: now - heardAt,
    }));
  }

  /** The gateways that callers may be sent to. */
  listOpen(): Gateway[] {
    return this.listLive()
      .map(({report}) => report.gateway)
      .filter(({open}) => open);
  }

  /** The open requests of all gateways but one, summed by endpoint. */
  sumLoads(exceptAddress: string): EndpointLoad[] {
    const sums = new Map<string, number>();
    for (const {report} of this.listLive()) {
      if (report.gateway.address === exceptAddress) continue;
      for (const {id, open} of report.loads) {
        sums.set(id, (sums.get(id) ?? 0) + open);
      }
    }
    return [...sums].map(([id, open]) => ({id, open}));
  }

  /** What all gateways saw of versions. */
  listEvidence(): VersionEvidence[] {
    const oldest = this.clock.monotonic() - FORGET_AFTER_MS;
    for (const [address, {heardAt}] of this.known) {
      if (heardAt < oldest) this.known.delete(address);
    }
    return [...this.known.values()].flatMap(({report}) => report.evidence);
  }

  private listLive(): Known[] {
    const oldest = this.clock.monotonic() - LIVE_MS;
    return [...this.known.values()].filter(({heardAt}) => heardAt >= oldest);
  }
}
