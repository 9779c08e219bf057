/**
 * At which revision of a table each crash of a suspect was added or changed, so that
 * a reader is told those only that it lacks.
 */
import {isStanding, type Crash, type Suspect} from './suspect.ts';

export class CrashRevisions {
  /** By the key of the suspect and the start that ended. */
  private readonly revisions = new Map<string, Map<string, number>>();

  /** Records what a change of a suspect added. */
  record(
    key: string,
    {
      known,
      next,
    }: {readonly known: Suspect | undefined; readonly next: Suspect},
    revision: number,
  ): void {
    const before = this.revisions.get(key);
    const revisions = new Map<string, number>();
    for (const [start, crash] of next.crashes) {
      const old = known?.crashes.get(start);
      const isSame = old !== undefined && isStanding(old) === isStanding(crash);
      const last = isSame ? before?.get(start) : undefined;
      revisions.set(start, last ?? revision);
    }
    this.revisions.set(key, revisions);
  }

  /** Selects the crashes that came after a revision. */
  select(
    key: string,
    {crashes}: Suspect,
    after: number,
  ): ReadonlyMap<string, Crash> {
    const revisions = this.revisions.get(key);
    return new Map(
      [...crashes].filter(
        ([start]) => (revisions?.get(start) ?? Infinity) > after,
      ),
    );
  }

  delete(key: string): void {
    this.revisions.delete(key);
  }
}
