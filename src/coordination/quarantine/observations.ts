/**
 * What a daemon passes on of suspects: a gateway what it observed itself, a core
 * daemon what gateways told it; not what others tell of the same suspects.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {SuspectId, SuspectRecord} from '../../protocol/suspect.ts';
import {RevisedMap} from '../revised_map.ts';
import {isStanding} from './suspect.ts';
import {createSuspectKey, type SuspectTable} from './suspect_table.ts';

/** Some of the suspects that a daemon passes on. */
export interface ObservedSuspects {
  readonly records: readonly SuspectRecord[];
  /** Up to which revision of the observations they are. */
  readonly revision: number;
}

export interface ObservationsOptions {
  readonly clock: Clock;
  readonly table: SuspectTable;
  /** How long an observation is listed, in ms; as long as its record by default. */
  readonly retainMs?: number;
  /** How many suspects are listed at most, the latest ones; all by default. */
  readonly maxListed?: number;
}

interface Observation {
  readonly atMs: number;
  /** The starts that ended, with the revisions at which that was observed. */
  readonly crashes: ReadonlyMap<string, number>;
  /** The revision at which all of the record became due; 0 if it never did. */
  readonly wholeAt: number;
}

export class Observations {
  private readonly observed = new RevisedMap<Observation>();

  constructor(private readonly options: ObservationsOptions) {}

  /** Records the ends that were observed with a suspect; none clear it. */
  record(service: string, id: SuspectId, starts: readonly string[]): void {
    const {clock, table} = this.options;
    const key = createSuspectKey(service, id);
    const {crashes = [], wholeAt = 0} = this.observed.get(key) ?? {};
    const held = table.get(key)?.crashes;
    const revision = this.observed.revision + 1;
    this.observed.set(key, {
      atMs: clock.monotonic(),
      crashes: new Map([
        ...[...crashes].filter(([start]) => held?.has(start)),
        ...starts.map(start => [start, revision] as const),
      ]),
      wholeAt: starts.length > 0 ? wholeAt : revision,
    });
  }

  /** Makes all that the table holds due, for a core that may not know it. */
  recordAll(): void {
    const {clock, table} = this.options;
    const atMs = clock.monotonic();
    for (const each of table.list()) {
      const wholeAt = this.observed.revision + 1;
      const key = createSuspectKey(each.service, each);
      this.observed.set(key, {atMs, crashes: new Map(), wholeAt});
    }
  }

  /** Lists the latest observations that came after a revision. */
  listAfter(after: number): ObservedSuspects {
    const {maxListed = Infinity} = this.options;
    this.prune();
    const listed = this.observed.listRevised(after).slice(-maxListed);
    return {
      records: listed.flatMap(
        ({key, value}) => this.encode(key, value, after) ?? [],
      ),
      revision: listed.at(-1)?.changedAt ?? after,
    };
  }

  /** Drops what is not passed on any more. */
  prune(): void {
    const {clock, table, retainMs = Infinity} = this.options;
    const oldest = clock.monotonic() - retainMs;
    for (const [key, {atMs}] of [...this.observed]) {
      const isDue = atMs >= oldest && table.get(key) !== null;
      if (!isDue) this.observed.delete(key);
    }
  }

  private encode(
    key: string,
    {crashes: own, wholeAt}: Observation,
    after: number,
  ): SuspectRecord | null {
    const {table} = this.options;
    const suspect = table.get(key);
    if (!suspect) return null;
    if (wholeAt > after) return table.encode(suspect);
    const all = [...suspect.crashes];
    const isDue = (start: string) => (own.get(start) ?? 0) > after;
    const due = all.filter(([start]) => isDue(start));
    const others = all.filter(
      ([start, crash]) => !isDue(start) && isStanding(crash),
    );
    // A reader takes a level from no fewer crashes than it has.
    const standing = due.filter(([, crash]) => isStanding(crash)).length;
    const lacking = Math.max(0, suspect.level - standing);
    const crashes = new Map([...due, ...others.slice(0, lacking)]);
    return table.encode({...suspect, crashes});
  }
}
