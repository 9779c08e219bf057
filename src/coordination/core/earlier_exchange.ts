/** Exchanges for daemons of earlier versions. */
import type {AgedReport, CoreExchange} from '../../protocol/core_service.ts';
import type {SuspectRecord} from '../../protocol/suspect.ts';

/** The lowest age of what a message tells, in ms. */
const MIN_AGE_MS = -1_000;

/**
 * Adds the suspects of an exchange to the last report of a gateway, where daemons of
 * earlier versions read them.
 */
export function addSuspects(exchange: CoreExchange): CoreExchange {
  const {gateways, suspects = []} = exchange;
  if (suspects.length === 0) return exchange;
  const [last, ...others] = [...gateways].sort((a, b) => a.ageMs - b.ageMs);
  if (!last) return exchange;
  const {report, ageMs} = last;
  const merged: AgedReport = {
    ageMs,
    report: {
      ...report,
      suspects: suspects.map(each => setBackAges(each, ageMs)),
    },
  };
  return {...exchange, gateways: [merged, ...others]};
}

/** Gives a record the ages that it had some ms ago. */
function setBackAges(record: SuspectRecord, ms: number): SuspectRecord {
  const shift = (ageMs: number) => Math.max(MIN_AGE_MS, ageMs - ms);
  const shiftOptional = (ageMs: number | null) =>
    ageMs === null ? null : shift(ageMs);
  return {
    ...record,
    crashes: record.crashes.map(crash => ({
      ...crash,
      ageMs: shift(crash.ageMs),
      refutedAgeMs: shiftOptional(crash.refutedAgeMs),
    })),
    clearedAgeMs: shiftOptional(record.clearedAgeMs),
  };
}
