/**
 * What other core daemons told of endpoints, so that it is not told back: a departure
 * that many daemons pass on would go both ways between each two of them.
 */
import type {EndpointReport} from '../../protocol/endpoint_report.ts';

const STATES: ReadonlyArray<EndpointReport['state']> = [
  'ready',
  'draining',
  'gone',
];

export class ToldReports {
  /** The last reports by the address of the daemon and the endpoint. */
  private readonly reports = new Map<string, Map<string, EndpointReport>>();

  /** Records what a daemon told. */
  record(from: string, reports: readonly EndpointReport[]): void {
    const told = this.reports.get(from) ?? new Map<string, EndpointReport>();
    this.reports.set(from, told);
    for (const report of reports) told.set(report.id, report);
  }

  /** Whether a daemon told at least what a report says. */
  covers(daemon: string, {id, state, ...report}: EndpointReport): boolean {
    const told = this.reports.get(daemon)?.get(id);
    if (!told) return false;
    if (told.startedAtMs !== report.startedAtMs) {
      return told.startedAtMs > report.startedAtMs;
    }
    return (
      STATES.indexOf(told.state) >= STATES.indexOf(state) &&
      told.sequence >= report.sequence
    );
  }

  /** Drops what is not known of any more. */
  prune(isKnown: (id: string) => boolean): void {
    for (const told of this.reports.values()) {
      for (const id of told.keys()) {
        if (!isKnown(id)) told.delete(id);
      }
    }
  }
}
