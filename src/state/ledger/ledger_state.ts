/**
 * The state of one ledger group: which requests were admitted, how they
 * ended, what was billed, and which version each session is pinned to.
 */
import type {
  BillRecord,
  LedgerCommand,
  LedgerPage,
  LedgerResult,
  LedgerStatus,
  LedgerSummary,
  StoredAnswer,
} from '../../protocol/ledger.ts';
import type {StateMachine} from '../state_machine.ts';

type Admit = Extract<LedgerCommand, {type: 'admit'}>;
type Settle = Extract<LedgerCommand, {type: 'settle'}>;
type Sweep = Extract<LedgerCommand, {type: 'sweep'}>;

interface Entry {
  requestId: string;
  digest: string;
  repeatable: boolean;
  gateway: string;
  status: LedgerStatus;
  atMs: number;
  billed: boolean;
  answer?: StoredAnswer;
}

interface Pin {
  version: string;
  atMs: number;
}

interface LedgerSnapshot {
  entries: Array<[string, Entry]>;
  pins: Array<[string, Pin]>;
  bills: BillRecord[];
  totals: Array<[string, number]>;
}

/** Applies ledger commands in log order. */
export class LedgerState implements StateMachine<LedgerCommand, LedgerResult> {
  private entries = new Map<string, Entry>();
  private pins = new Map<string, Pin>();
  private billRecords: BillRecord[] = [];
  private totals = new Map<string, number>();

  /** All bills, oldest first. Treat it as read-only. */
  get bills(): readonly BillRecord[] {
    return this.billRecords;
  }

  /** The bills that follow the sequence number `after`. */
  readBills(after: number): LedgerPage {
    const bills = this.billRecords.slice(after);
    const cursor = this.billRecords.length;
    return {bills, cursor, complete: true, archivedThrough: 0};
  }

  /** Figures for operators. */
  describeSummary(): LedgerSummary {
    const entries = [...this.entries.values()];
    const open = entries.filter(entry => entry.status === 'open').length;
    return {
      openEntries: open,
      settledEntries: entries.length - open,
      pins: this.pins.size,
      answerBytes: 0,
      totals: Object.fromEntries(this.totals),
    };
  }

  /** The total billed to a customer, in micro-units of currency. */
  getTotal(customer: string): number {
    return this.totals.get(customer) ?? 0;
  }

  /** The names of gateways that have open entries. */
  listOpenGateways(): string[] {
    const open = [...this.entries.values()].filter(
      entry => entry.status === 'open',
    );
    return [...new Set(open.map(entry => entry.gateway))];
  }

  apply(command: LedgerCommand): LedgerResult {
    switch (command.type) {
      case 'admit':
        return this.admit(command);
      case 'settle':
        return this.settle(command);
      case 'sweep':
        return this.sweep(command);
    }
  }

  createSnapshot(): LedgerSnapshot {
    return {
      entries: [...this.entries],
      pins: [...this.pins],
      bills: [...this.billRecords],
      totals: [...this.totals],
    };
  }

  restoreSnapshot(snapshot: unknown): void {
    const {entries, pins, bills, totals} = snapshot as LedgerSnapshot;
    this.entries = new Map(entries);
    this.pins = new Map(pins);
    this.billRecords = [...bills];
    this.totals = new Map(totals);
  }

  private admit(command: Admit): LedgerResult {
    const id = formatKey(command.customer, command.key);
    const known = this.entries.get(id);
    if (known && known.requestId !== command.requestId) {
      const earlier = findEarlierEnd(known, command);
      if (earlier) return earlier;
    }
    if (!known || known.requestId !== command.requestId) {
      this.entries.set(id, {
        requestId: command.requestId,
        digest: command.digest,
        repeatable: command.repeatable,
        gateway: command.gateway,
        status: 'open',
        atMs: command.atMs,
        billed: known?.billed ?? false,
      });
    }
    const pinned = this.pinSession(command);
    return {type: 'admitted', pinned, billed: known?.billed ?? false};
  }

  private pinSession(command: Admit): string | undefined {
    if (command.session === undefined) return undefined;
    const id = formatKey(command.customer, command.session);
    const pin = this.pins.get(id);
    if (pin && !command.repin) {
      pin.atMs = command.atMs;
      return pin.version;
    }
    if (command.version === undefined) return pin?.version;
    this.pins.set(id, {version: command.version, atMs: command.atMs});
    return command.version;
  }

  private settle(command: Settle): LedgerResult {
    const id = formatKey(command.customer, command.key);
    const entry = this.entries.get(id);
    if (!entry || entry.requestId !== command.requestId) {
      return {type: 'settled', billed: false};
    }
    if (entry.status !== 'open') {
      return {type: 'settled', billed: entry.billed};
    }
    if (command.status === 'not-run' && !entry.billed) {
      this.entries.delete(id);
      return {type: 'settled', billed: false};
    }
    entry.status = command.status;
    entry.atMs = command.atMs;
    entry.answer = command.answer;
    if (command.bill && !entry.billed) {
      entry.billed = true;
      this.addBill(command, command.bill);
    }
    return {type: 'settled', billed: entry.billed};
  }

  private addBill(command: Settle, bill: NonNullable<Settle['bill']>): void {
    this.billRecords.push({
      ...bill,
      sequence: this.billRecords.length + 1,
      requestId: command.requestId,
      customer: command.customer,
      key: command.key,
      atMs: command.atMs,
    });
    const total = this.getTotal(command.customer) + bill.cost;
    this.totals.set(command.customer, total);
  }

  private sweep(command: Sweep): LedgerResult {
    const lost = new Set(command.lostGateways);
    let count = 0;
    for (const [id, entry] of this.entries) {
      if (entry.status === 'open' && lost.has(entry.gateway)) {
        entry.status = 'unknown';
        entry.atMs = command.atMs;
        count++;
      } else if (
        entry.status !== 'open' &&
        entry.atMs < command.settledBeforeMs
      ) {
        this.entries.delete(id);
        count++;
      }
    }
    for (const [id, pin] of this.pins) {
      if (pin.atMs < command.settledBeforeMs) this.pins.delete(id);
    }
    return {type: 'swept', count};
  }
}

/** What an earlier request under the same key means for a new one. */
function findEarlierEnd(known: Entry, command: Admit): LedgerResult | null {
  if (known.digest !== command.digest) return {type: 'mismatch'};
  if (known.status === 'not-run') return null;
  if (known.repeatable) return known.status === 'open' ? {type: 'open'} : null;
  if (known.status === 'open') return {type: 'open'};
  if (known.status === 'unknown') return {type: 'unknown'};
  return {type: 'answered', answer: known.answer};
}

function formatKey(customer: string, key: string): string {
  return `${customer}\u0000${key}`;
}
