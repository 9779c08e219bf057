/**
 * The replicated state of a ledger group: admitted requests and their
 * outcomes, bills, and the version that each session is pinned to.
 */
import type {
  LedgerCommand,
  LedgerPage,
  LedgerResult,
  LedgerSummary,
} from '../../protocol/ledger.ts';
import type {StateMachine} from '../state_machine.ts';
import {BillStore, type BillStoreSnapshot} from './bill_store.ts';
import {Claims, type Claim, type ClaimsSnapshot} from './claims.ts';
import {SessionPins, type SessionPinsSnapshot} from './session_pins.ts';

type Admit = Extract<LedgerCommand, {type: 'admit'}>;
type Settle = Extract<LedgerCommand, {type: 'settle'}>;
type Sweep = Extract<LedgerCommand, {type: 'sweep'}>;

/** Bounds the claims and pins that one sweep command removes. */
const SWEEP_LIMIT = 5_000;

interface LedgerSnapshot {
  claims: ClaimsSnapshot;
  pins: SessionPinsSnapshot;
  bills: BillStoreSnapshot;
}

/** Applies ledger commands in log order. */
export class LedgerState implements StateMachine<LedgerCommand, LedgerResult> {
  private readonly claims = new Claims();
  private readonly pins = new SessionPins();
  private readonly bills = new BillStore();

  /** Returns a page of the bills that follow the sequence number `after`. */
  readBills(after: number): LedgerPage {
    return this.bills.read(after);
  }

  /** Returns the ledger's figures for operators. */
  describeSummary(): LedgerSummary {
    return {
      openEntries: this.claims.openCount,
      settledEntries: this.claims.settledCount,
      pins: this.pins.size,
      answerBytes: this.claims.answerBytes,
      totals: this.bills.listTotals(),
    };
  }

  /** Returns the processes with open claims, as `name/incarnation`. */
  listOpenGateways(): ReadonlySet<string> {
    return this.claims.listOpenGateways();
  }

  /** Whether a sweep has work, apart from lost gateways. */
  needsSweep(sweep: Omit<Sweep, 'type' | 'lostGateways'>): boolean {
    return (
      this.claims.needsSweep(sweep) ||
      this.pins.hasOlderThan(sweep.settledBeforeMs)
    );
  }

  apply(command: LedgerCommand): LedgerResult {
    switch (command.type) {
      case 'admit':
        return this.admit(command);
      case 'settle':
        return this.settle(command);
      case 'pin':
        return {type: 'pinned', pinned: this.pins.pin(command)};
      case 'sweep':
        return this.sweep(command);
      case 'archive_bills':
        return {type: 'archived', through: this.bills.archive(command.through)};
    }
  }

  createSnapshot(): LedgerSnapshot {
    return {
      claims: this.claims.createSnapshot(),
      pins: this.pins.createSnapshot(),
      bills: this.bills.createSnapshot(),
    };
  }

  restoreSnapshot(snapshot: unknown): void {
    const {claims, pins, bills} = snapshot as LedgerSnapshot;
    this.claims.restoreSnapshot(claims);
    this.pins.restoreSnapshot(pins);
    this.bills.restoreSnapshot(bills);
  }

  private admit(command: Admit): LedgerResult {
    const id = formatClaimId(command.customer, command.key);
    const known = this.claims.get(id);
    const isDuplicate = known?.requestId === command.requestId;
    if (known && !isDuplicate) {
      const earlierResult = findEarlierResult(known, command);
      if (earlierResult) return earlierResult;
    }
    if (!isDuplicate) {
      this.claims.start(id, {
        requestId: command.requestId,
        digest: command.digest,
        repeatable: command.repeatable,
        gateway: command.gateway,
        status: 'open',
        atMs: command.atMs,
        billed: known?.billed ?? false,
      });
    }
    const {session} = command;
    const pinned =
      session === undefined ? undefined : this.pins.pin({...command, session});
    return {type: 'admitted', pinned, billed: known?.billed ?? false};
  }

  private settle(command: Settle): LedgerResult {
    const id = formatClaimId(command.customer, command.key);
    const claim = this.claims.get(id);
    if (!claim || claim.requestId !== command.requestId) {
      return {type: 'settled', billed: false};
    }
    // A gateway that was presumed lost may still report the outcome.
    if (claim.status !== 'open' && !claim.swept) {
      return {type: 'settled', billed: claim.billed};
    }
    if (command.status === 'not-run' && !claim.billed) {
      this.claims.remove(id);
      return {type: 'settled', billed: false};
    }
    claim.status = command.status;
    claim.swept = undefined;
    claim.atMs = command.atMs;
    claim.answer = command.answer;
    if (command.bill && !claim.billed) {
      claim.billed = true;
      this.bills.append({
        ...command.bill,
        requestId: command.requestId,
        customer: command.customer,
        key: command.key,
        atMs: command.atMs,
      });
    }
    this.claims.end(id, claim, command.key === command.requestId);
    return {type: 'settled', billed: claim.billed};
  }

  private sweep(command: Sweep): LedgerResult {
    const lostGateways = new Set(command.lostGateways);
    const changedClaims = this.claims.sweep({
      ...command,
      lostGateways,
      limit: SWEEP_LIMIT,
    });
    const expiredPins = this.pins.sweep(command.settledBeforeMs, SWEEP_LIMIT);
    return {type: 'swept', count: changedClaims + expiredPins};
  }
}

/** Returns the result that an earlier request with the same key dictates. */
function findEarlierResult(known: Claim, command: Admit): LedgerResult | null {
  if (known.digest !== command.digest) return {type: 'mismatch'};
  if (known.status === 'not-run') return null;
  if (known.status === 'open') return {type: 'open'};
  if (known.repeatable) return null;
  if (known.status === 'unknown') return {type: 'unknown'};
  return {type: 'answered', answer: known.answer};
}

function formatClaimId(customer: string, key: string): string {
  return `${customer}\u0000${key}`;
}
