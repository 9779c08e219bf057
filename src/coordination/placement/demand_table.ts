/** The demand for each version, merged over gateways. */
import type {Clock} from '../../protocol/clock.ts';
import type {DemandReport} from '../../protocol/rollout_state.ts';

/** A gateway that is silent for this long counts no more. */
const REPORT_EXPIRY_MS = 60_000;

/** The weight of the newest span in the moving average. */
const LATEST_WEIGHT = 0.5;

interface GatewayDemand {
  readonly incarnation: string;
  readonly receivedAt: number;
  readonly busyMs: ReadonlyMap<string, number>;
  /** Requests at once by version. */
  readonly rates: ReadonlyMap<string, number>;
}

/** Turns growing busy times into requests at once. */
export class DemandTable {
  private readonly gateways = new Map<string, GatewayDemand>();

  constructor(private readonly clock: Clock) {}

  /** Takes a gateway's busy times since its start. */
  record(gateway: string, incarnation: string, report: DemandReport): void {
    const receivedAt = this.clock.monotonic();
    const busyMs = new Map(report.map(each => [each.version, each.busyMs]));
    const known = this.gateways.get(gateway);
    const rates = new Map<string, number>();
    if (known?.incarnation === incarnation) {
      const elapsedMs = Math.max(1, receivedAt - known.receivedAt);
      for (const [version, busy] of busyMs) {
        const grown = busy - (known.busyMs.get(version) ?? 0);
        const newest = Math.max(0, grown) / elapsedMs;
        const before = known.rates.get(version) ?? newest;
        const mean = before + LATEST_WEIGHT * (newest - before);
        rates.set(version, mean);
      }
    }
    this.gateways.set(gateway, {incarnation, receivedAt, busyMs, rates});
  }

  /** Forgets everything, as a daemon does that no longer leads. */
  clear(): void {
    this.gateways.clear();
  }

  /** Requests at once that want the version, over all gateways. */
  getDemand(version: string): number {
    const oldest = this.clock.monotonic() - REPORT_EXPIRY_MS;
    return [...this.gateways.values()]
      .filter(each => each.receivedAt >= oldest)
      .reduce((sum, each) => sum + (each.rates.get(version) ?? 0), 0);
  }
}
