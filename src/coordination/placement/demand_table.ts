/** Tracks the demand for each version, summed over gateways. */
import type {Clock} from '../../protocol/clock.ts';
import type {DemandReport} from '../../protocol/rollout_state.ts';

/** The time after which a gateway's latest report no longer counts. */
const REPORT_EXPIRY_MS = 60_000;

/** The weight of the latest reporting interval in the moving average. */
const LATEST_WEIGHT = 0.5;

interface GatewayDemand {
  readonly incarnation: string;
  readonly receivedAt: number;
  readonly busyMs: ReadonlyMap<string, number>;
  /** Average concurrent requests by version. */
  readonly rates: ReadonlyMap<string, number>;
}

/** Derives average concurrent requests from cumulative busy times. */
export class DemandTable {
  private readonly gateways = new Map<string, GatewayDemand>();

  constructor(private readonly clock: Clock) {}

  /** Records a gateway's cumulative busy times since its start. */
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

  /** Removes all reports, for a daemon that is no longer the leader. */
  clear(): void {
    this.gateways.clear();
  }

  /** Returns the concurrent requests for the version over all gateways. */
  getDemand(version: string): number {
    const oldest = this.clock.monotonic() - REPORT_EXPIRY_MS;
    return [...this.gateways.values()]
      .filter(each => each.receivedAt >= oldest)
      .reduce((sum, each) => sum + (each.rates.get(version) ?? 0), 0);
  }
}
