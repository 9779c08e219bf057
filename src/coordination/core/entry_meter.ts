/** Counts the entries that daemons tell each other, by message and field. */
import type {CoreExchange, GatewayReport} from '../../protocol/core_service.ts';

/** The fields of a gateway's report that list entries. */
const REPORT_FIELDS = [
  'loads',
  'evidence',
  'paces',
  'leaving',
  'limits',
  'suspects',
] as const;

/** The entries of a message by its fields. */
export type EntryCounts = Readonly<Record<string, number>>;

export class EntryMeter {
  private counts = new Map<string, Record<string, number>>();

  /** Adds the entries of a message. */
  record(message: string, entries: EntryCounts): void {
    const sums = this.counts.get(message) ?? {};
    for (const [field, count] of Object.entries(entries)) {
      if (count > 0) sums[field] = (sums[field] ?? 0) + count;
    }
    this.counts.set(message, sums);
  }

  /** Returns the sums since the last call, by the name of the message. */
  take(): ReadonlyMap<string, EntryCounts> {
    const {counts} = this;
    this.counts = new Map();
    return counts;
  }
}

/** Counts the entries of gateways' reports. */
export function countReportEntries(
  reports: ReadonlyArray<Partial<GatewayReport>>,
): EntryCounts {
  const counts: Record<string, number> = {};
  for (const field of REPORT_FIELDS) {
    counts[field] = reports.reduce(
      (sum, report) => sum + (report[field]?.length ?? 0),
      0,
    );
  }
  return counts;
}

/** Counts the entries of an exchange. */
export function countExchangeEntries({
  reports,
  gateways,
  suspects = [],
}: Pick<CoreExchange, 'reports' | 'gateways' | 'suspects'>): EntryCounts {
  const counts = countReportEntries(gateways.map(({report}) => report));
  return {
    ...counts,
    endpoints: reports.length,
    gateways: gateways.length,
    suspects: (counts['suspects'] ?? 0) + suspects.length,
  };
}
