/**
 * The bills of one ledger shard: append-only, numbered without gaps.
 *
 * Full blocks are stored encoded, so a snapshot copies bytes instead of
 * objects. Bills are removed only when an operator archives them after export;
 * the totals are kept.
 */
import {decode, encode} from '@msgpack/msgpack';
import type {BillRecord, LedgerPage} from '../../protocol/ledger.ts';

/** The number of bills in an encoded block. */
const BLOCK_BILLS = 500;

/** Totals are integers in billionths, so sums have no rounding error. */
const NANOS_PER_MICRO = 1_000;

interface Block {
  /** The sequence number of its first bill. */
  first: number;
  bytes: Uint8Array;
}

/** The bill store's part of a snapshot. */
export interface BillStoreSnapshot {
  blocks: Block[];
  open: BillRecord[];
  nextSequence: number;
  archivedThrough: number;
  totals: Array<[string, number]>;
}

export class BillStore {
  private blocks: Block[] = [];
  /** The bills after the last full block. */
  private open: BillRecord[] = [];
  private nextSequence = 1;
  private archivedThrough = 0;
  private readonly totals = new Map<string, number>();

  /** Appends a bill and assigns its sequence number. */
  append(bill: Omit<BillRecord, 'sequence'>): void {
    this.open.push({...bill, sequence: this.nextSequence++});
    const nanos = Math.round(bill.cost * NANOS_PER_MICRO);
    const total = this.totals.get(bill.customer) ?? 0;
    this.totals.set(bill.customer, total + nanos);
    if (this.open.length < BLOCK_BILLS) return;
    const first = this.nextSequence - BLOCK_BILLS;
    this.blocks.push({
      first,
      bytes: encode(this.open, {ignoreUndefined: true}),
    });
    this.open = [];
  }

  /** Returns the bills after `after`, up to the end of their block. */
  read(after: number): LedgerPage {
    const {archivedThrough} = this;
    const from = Math.max(after, archivedThrough) + 1;
    const block = this.blocks.find(({first}) => from < first + BLOCK_BILLS);
    const source = block ? (decode(block.bytes) as BillRecord[]) : this.open;
    const bills = source.filter(bill => bill.sequence >= from);
    const cursor = bills.at(-1)?.sequence ?? Math.max(after, archivedThrough);
    const complete = cursor >= this.nextSequence - 1;
    return {bills, cursor, complete, archivedThrough};
  }

  /**
   * Removes the bills up to `through`, in whole blocks, and returns the last
   * one removed. The totals do not change.
   */
  archive(through: number): number {
    this.blocks = this.blocks.filter(({first}) => {
      const last = first + BLOCK_BILLS - 1;
      if (last > through) return true;
      this.archivedThrough = Math.max(this.archivedThrough, last);
      return false;
    });
    return this.archivedThrough;
  }

  /** Returns the totals by customer, in micro-units of currency. */
  listTotals(): Record<string, number> {
    return Object.fromEntries(
      [...this.totals].map(([name, nanos]) => [name, nanos / NANOS_PER_MICRO]),
    );
  }

  createSnapshot(): BillStoreSnapshot {
    return {
      blocks: this.blocks,
      open: this.open,
      nextSequence: this.nextSequence,
      archivedThrough: this.archivedThrough,
      totals: [...this.totals],
    };
  }

  restoreSnapshot(snapshot: BillStoreSnapshot): void {
    this.blocks = [...snapshot.blocks];
    this.open = [...snapshot.open];
    this.nextSequence = snapshot.nextSequence;
    this.archivedThrough = snapshot.archivedThrough;
    this.totals.clear();
    for (const [name, total] of snapshot.totals) this.totals.set(name, total);
  }
}
