/** Counts the messages of simulated daemons by daemon, second, name and field. */
import type {Clock} from '../../protocol/clock.ts';
import {EntryMeter, type EntryCounts} from '../core/entry_meter.ts';

const MS_PER_SECOND = 1_000;

/** The messages that one daemon sent and received in one second. */
export interface SecondTraffic {
  messages: number;
  bytes: number;
  /** The number and the bytes of the messages by their names. */
  readonly byName: Map<string, [messages: number, bytes: number]>;
  /** The bytes by name and field; empty unless fields are counted. */
  readonly byField: Map<string, number>;
  /** The entries that were told and merged, by message and field. */
  readonly entries: Map<string, number>;
}

interface PassedMessage {
  readonly name: string;
  readonly from: string;
  readonly to: string | undefined;
  readonly bytes: number;
  readonly content: unknown;
}

export interface TrafficRecordOptions {
  readonly clock: Clock;
  /** Whether to count the bytes of each field, which takes time. */
  readonly countsFields: boolean;
}

export class TrafficRecord {
  /** By daemon and second. */
  private readonly seconds = new Map<string, Map<number, SecondTraffic>>();

  constructor(private readonly options: TrafficRecordOptions) {}

  record({name, from, to, bytes, content}: PassedMessage): void {
    const fields = this.options.countsFields
      ? measureFields(name, content)
      : new Map<string, number>();
    for (const daemon of to === undefined ? [from] : [from, to]) {
      const second = this.find(daemon);
      second.messages++;
      second.bytes += bytes;
      const [messages, sum] = second.byName.get(name) ?? [0, 0];
      second.byName.set(name, [messages + 1, sum + bytes]);
      for (const [field, size] of fields) add(second.byField, field, size);
    }
  }

  /** Creates the meter of a daemon, whose entries are counted by second. */
  createMeter(daemon: string): EntryMeter {
    return new SecondMeter((message, counts) => {
      const {entries} = this.find(daemon);
      for (const [field, count] of Object.entries(counts)) {
        if (count > 0) add(entries, `${message}.${field}`, count);
      }
    });
  }

  /** Lists what a daemon passed in the seconds that begin in a span, in ms. */
  list(daemon: string, fromMs: number, untilMs: number): SecondTraffic[] {
    return [...(this.seconds.get(daemon) ?? [])]
      .filter(
        ([second]) =>
          second * MS_PER_SECOND >= fromMs && second * MS_PER_SECOND < untilMs,
      )
      .map(([, traffic]) => traffic);
  }

  private find(daemon: string): SecondTraffic {
    const second = Math.floor(this.options.clock.monotonic() / MS_PER_SECOND);
    const seconds = this.seconds.get(daemon) ?? new Map();
    this.seconds.set(daemon, seconds);
    const known = seconds.get(second);
    if (known) return known;
    const created = {
      messages: 0,
      bytes: 0,
      byName: new Map(),
      byField: new Map(),
      entries: new Map(),
    };
    seconds.set(second, created);
    return created;
  }
}

class SecondMeter extends EntryMeter {
  constructor(
    private readonly onRecord: (message: string, entries: EntryCounts) => void,
  ) {
    super();
  }

  override record(message: string, entries: EntryCounts): void {
    this.onRecord(message, entries);
  }
}

/** Measures the fields of a message, and those of the reports in it. */
function measureFields(name: string, content: unknown): Map<string, number> {
  const sizes = new Map<string, number>();
  if (typeof content !== 'object' || content === null) return sizes;
  for (const [field, value] of Object.entries(content)) {
    const reports =
      field === 'report' ? [value] : field === 'gateways' ? value : [];
    for (const each of reports as ReadonlyArray<{report?: object}>) {
      const report = each.report ?? each;
      for (const [inner, part] of Object.entries(report)) {
        add(sizes, `${name}.${field}.${inner}`, measure(part));
      }
    }
    if (reports.length === 0) add(sizes, `${name}.${field}`, measure(value));
  }
  return sizes;
}

function measure(value: unknown): number {
  return JSON.stringify(value)?.length ?? 0;
}

function add(sums: Map<string, number>, key: string, count: number): void {
  sums.set(key, (sums.get(key) ?? 0) + count);
}
