/** The last reports of gateways, received here or by another core daemon. */
import type {Clock} from '../../protocol/clock.ts';
import type {
  AgedReport,
  EndpointLimit,
  EndpointLoad,
  FollowReport,
  GatewayReport,
  LeavingEndpoint,
  VersionEvidence,
  VersionPace,
} from '../../protocol/core_service.ts';
import type {Gateway} from '../../protocol/gateway_entry.ts';
import type {SuspectRecord} from '../../protocol/suspect.ts';

/** A gateway reports at least every 0.8 s; two reports may be lost. */
const LIVE_MS = 2_500;

/**
 * The least time between two lists of open gateways that differ in the slowness of
 * hosts only. Each one goes to all gateways; a list of 79 has 8 KB.
 */
const SLOWNESS_INTERVAL_MS = 8_000;

/** How long the evidence of a silent gateway is retained. */
const EXPIRE_AFTER_MS = 60_000;

interface KnownGateway {
  readonly report: GatewayReport;
  readonly receivedAt: number;
  /** Whether the gateway sent the report to this daemon. */
  readonly isDirect: boolean;
  /** When it last told this daemon something urgent. */
  readonly urgentAt: number;
}

/** A report that was received, here or by another daemon. */
type ReceivedReport = Omit<KnownGateway, 'urgentAt'>;

/** The gateways that callers may be directed to. */
export interface OpenGateways {
  /**
   * Increases with each change of the list, since this daemon's start; seldom if
   * only the slowness of hosts changes.
   */
  readonly revision: number;
  /** Sorted by address. */
  readonly list: readonly Gateway[];
}

export interface GatewayDirectoryOptions {
  readonly clock: Clock;
  /** Called when a gateway reported, here or elsewhere, that it closes. */
  readonly onClosing?: (where: {readonly isDirect: boolean}) => void;
  /** Called when a gateway reported here what other daemons must not wait for. */
  readonly onUrgent?: () => void;
  /**
   * Called when a gateway reports endpoints that are shutting down; returns
   * whether that was not known.
   */
  readonly onLeaving?: (leaving: readonly LeavingEndpoint[]) => boolean;
  /**
   * Called with the limits that a gateway reports; their ages were measured at
   * `receivedAt` on the monotonic clock. Returns whether a change is urgent.
   */
  readonly onLimits?: (
    limits: readonly EndpointLimit[],
    receivedAt: number,
  ) => boolean;
  /** The same for suspects, of which the owner decides what is urgent. */
  readonly onSuspects?: (
    records: readonly SuspectRecord[],
    received: {readonly atMs: number; readonly isDirect: boolean},
  ) => void;
}

export class GatewayDirectory {
  private readonly known = new Map<string, KnownGateway>();
  private openGateways: OpenGateways = {revision: 0, list: []};
  /** The list that the revision is about. */
  private revisedList: readonly Gateway[] = [];
  /** When the revision was increased for the slowness of hosts. */
  private slownessAt = -Infinity;
  private closingRevision = 0;

  constructor(private readonly options: GatewayDirectoryOptions) {}

  /**
   * Records a report that a gateway sent to this daemon. Lists that it leaves out
   * are as in the last one.
   */
  recordDirect(report: FollowReport): void {
    const last = this.known.get(report.gateway.address)?.report;
    const {
      loads = last?.loads ?? [],
      evidence = last?.evidence ?? [],
      paces = last?.paces ?? [],
    } = report;
    this.apply({
      report: {...report, loads, evidence, paces},
      receivedAt: this.options.clock.monotonic(),
      isDirect: true,
    });
  }

  /** Records reports that another daemon received, if they are newer. */
  recordRelayed(reports: readonly AgedReport[]): void {
    for (const {report, ageMs} of reports) {
      const receivedAt = this.options.clock.monotonic() - ageMs;
      const known = this.known.get(report.gateway.address);
      if (known && known.receivedAt >= receivedAt) continue;
      this.apply({report, receivedAt, isDirect: false});
    }
  }

  private apply({report, receivedAt, isDirect}: ReceivedReport): void {
    const {onLeaving, onLimits, onSuspects, onClosing, onUrgent} = this.options;
    const {gateway, leaving, limits, suspects} = report;
    const {address, open, stopped = false} = gateway;
    const isNewlyLeaving = leaving.length > 0 && onLeaving?.(leaving) === true;
    const isLimited =
      limits.length > 0 && onLimits?.(limits, receivedAt) === true;
    if (suspects.length > 0) {
      onSuspects?.(suspects, {atMs: receivedAt, isDirect});
    }
    const known = this.known.get(address);
    const isStopped = stopped && known?.report.gateway.stopped !== true;
    const isClosing = known?.report.gateway.open === true && !open;
    const isUrgent =
      isDirect && (isNewlyLeaving || isLimited || isStopped || isClosing);
    const urgentAt = isUrgent ? receivedAt : (known?.urgentAt ?? -Infinity);
    // Suspects have a table of their own.
    const kept = {...report, suspects: []};
    this.known.set(address, {report: kept, receivedAt, isDirect, urgentAt});
    if (isClosing) {
      this.closingRevision = this.findOpen().revision;
      onClosing?.({isDirect});
    }
    if (isUrgent) onUrgent?.();
  }

  /** The revision of the last change that is urgent: a gateway closed. */
  get lastClosingRevision(): number {
    return this.closingRevision;
  }

  /**
   * Lists the reports that gateways sent to this daemon at or after `since`, on
   * the monotonic clock.
   */
  listDirect(since: number): AgedReport[] {
    return this.listAged(each => each.isDirect && each.receivedAt >= since);
  }

  /** Lists those of them that told something urgent at or after `since`. */
  listUrgent(since: number): AgedReport[] {
    return this.listAged(each => each.isDirect && each.urgentAt >= since);
  }

  /** Lists all known reports, for a daemon that has just started. */
  listAll(): AgedReport[] {
    return this.listAged(() => true);
  }

  private listAged(isListed: (known: KnownGateway) => boolean): AgedReport[] {
    const now = this.options.clock.monotonic();
    return [...this.known.values()]
      .filter(isListed)
      .map(({report, receivedAt}) => ({report, ageMs: now - receivedAt}));
  }

  /**
   * Lists the addresses of gateways that reported within a time, in ms, and have
   * not stopped.
   */
  listRecent(withinMs: number): string[] {
    const oldest = this.options.clock.monotonic() - withinMs;
    return [...this.known]
      .filter(
        ([, {receivedAt, report}]) =>
          receivedAt >= oldest && !report.gateway.stopped,
      )
      .map(([address]) => address);
  }

  /** Finds the gateways that callers may be directed to. */
  findOpen(): OpenGateways {
    const list = this.listLive()
      .map(({report}) => report.gateway)
      .filter(({open}) => open)
      .sort((a, b) => (a.address < b.address ? -1 : 1));
    const {revision} = this.openGateways;
    this.openGateways = {
      revision: this.isRevised(list) ? revision + 1 : revision,
      list,
    };
    return this.openGateways;
  }

  /** Whether followers should get a list in place of the one they have. */
  private isRevised(list: readonly Gateway[]): boolean {
    const known = this.revisedList;
    const isSame =
      list.length === known.length &&
      list.every(
        ({address, capacity, idle}, index) =>
          address === known[index]?.address &&
          capacity === known[index].capacity &&
          idle === known[index].idle,
      );
    const isSlowerSame = list.every(
      ({slowness = 0}, index) => slowness === (known[index]?.slowness ?? 0),
    );
    if (isSame && isSlowerSame) return false;
    const now = this.options.clock.monotonic();
    const isDue = now - this.slownessAt >= SLOWNESS_INTERVAL_MS;
    if (isSame && !isDue) return false;
    if (isSame) this.slownessAt = now;
    this.revisedList = list;
    return true;
  }

  /** Sums the open requests of all gateways but one by endpoint. */
  sumLoads(exceptAddress: string): EndpointLoad[] {
    const sums = new Map<string, EndpointLoad>();
    for (const {report} of this.listLive()) {
      if (report.gateway.address === exceptAddress) continue;
      for (const {id, open, readingMs} of report.loads) {
        const sum = sums.get(id);
        sums.set(id, {
          id,
          open: (sum?.open ?? 0) + open,
          readingMs: (sum?.readingMs ?? 0) + readingMs,
        });
      }
    }
    return [...sums.values()];
  }

  /** Whether any gateway has requests open. */
  hasLoads(): boolean {
    return this.listLive().some(({report}) => report.loads.length > 0);
  }

  /** Lists the gateways' evidence on versions; removes expired gateways. */
  listEvidence(): VersionEvidence[] {
    this.expire();
    return [...this.known.values()].flatMap(({report}) => report.evidence);
  }

  /** Lists the gateways' paces of versions; removes expired gateways. */
  listPaces(): VersionPace[] {
    this.expire();
    return [...this.known.values()].flatMap(({report}) => report.paces);
  }

  private expire(): void {
    const oldest = this.options.clock.monotonic() - EXPIRE_AFTER_MS;
    for (const [address, {receivedAt}] of this.known) {
      if (receivedAt < oldest) this.known.delete(address);
    }
  }

  private listLive(): KnownGateway[] {
    const oldest = this.options.clock.monotonic() - LIVE_MS;
    return [...this.known.values()].filter(
      ({receivedAt}) => receivedAt >= oldest,
    );
  }
}
