/**
 * Which suspects a core daemon tells the gateways: those that more than one crash
 * speaks against, and from then on also that they are cleared.
 *
 * Crashes that come by chance, or answers that are lost, make suspects of each
 * request that they meet. To tell all gateways of each would cost more than all
 * else that they are told.
 */
import type {SuspectRecord} from '../../protocol/suspect.ts';
import {isShared} from './suspect.ts';
import {
  createSuspectKey,
  type SuspectChange,
  type SuspectTable,
} from './suspect_table.ts';

export class SharedSuspects {
  /** The revisions of the table at which suspects came to be told. */
  private readonly keys = new Map<string, number>();

  constructor(private readonly table: SuspectTable) {}

  /** Selects the changes that gateways are told. */
  select(changes: readonly SuspectChange[]): SuspectChange[] {
    return changes.filter(({suspect}) => {
      const key = createSuspectKey(suspect.service, suspect);
      if (isShared(suspect) && !this.keys.has(key)) {
        this.keys.set(key, this.table.revision);
      }
      return this.keys.has(key);
    });
  }

  /** Lists what changed after a revision, for gateways that have all before it. */
  list(after = 0): SuspectRecord[] {
    if (this.keys.size === 0) return [];
    return this.table.listChanged(after).flatMap(key => {
      const toldSince = this.keys.get(key);
      if (toldSince === undefined) return [];
      return this.table.encodeSince(key, toldSince > after ? 0 : after) ?? [];
    });
  }

  /** Drops what the table does not hold any more. */
  prune(): void {
    for (const key of this.keys.keys()) {
      if (this.table.get(key) === null) this.keys.delete(key);
    }
  }
}
