/**
 * Settles claims that lost gateways left open, and evicts settled keys whose
 * retention period has passed.
 *
 * Runs beside each replica of a ledger group; only the leader's sweeper acts.
 * An abandoned claim is settled as `unknown`, which never lets a call run
 * again; a gateway that is alive after all can still settle and bill it.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {LeaseHolder} from '../../protocol/control.ts';
import type {LedgerCommand} from '../../protocol/ledger.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {LedgerState} from '../../state/ledger/ledger_state.ts';
import {startPeriodicTask} from '../periodic_task.ts';

const SWEEP_INTERVAL_MS = 2_000;

/** A gateway without a lease for this long counts as lost. */
export const LOST_AFTER_MS = 15_000;

/** A claim open for this long is abandoned, even if its gateway is alive. */
export const OPEN_LIMIT_MS = 900_000;

export interface LedgerSweeperOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly group: string;
  readonly state: LedgerState;
  readonly isLeader: () => boolean;
  /** Returns how long settled keys are retained. */
  readonly getRetentionMs: () => number;
  /** Lists the holders of a configuration lease; `null` if unknown. */
  readonly listHolders: () => Promise<readonly LeaseHolder[] | null>;
  readonly propose: (command: LedgerCommand) => Promise<unknown>;
}

/** Sweeps one ledger group periodically, until disposed. */
export class LedgerSweeper implements AsyncDisposable {
  /** When each gateway was first seen without a lease. */
  private readonly missingSince = new Map<string, number>();
  private task: AsyncDisposable | null = null;

  constructor(private readonly options: LedgerSweeperOptions) {}

  start(): void {
    const {clock, logger} = this.options;
    this.task = startPeriodicTask({
      clock,
      intervalMs: SWEEP_INTERVAL_MS,
      step: () => this.sweepOnce(),
      onError: ({message: reason}) =>
        logger.warn('Could not sweep the ledger.', {reason}),
    });
  }

  async sweepOnce(): Promise<void> {
    const {clock, state, propose} = this.options;
    if (!this.options.isLeader()) {
      this.missingSince.clear();
      return;
    }
    const lostGateways = await this.findLostGateways();
    const atMs = clock.now();
    const sweep = {
      atMs,
      openBeforeMs: atMs - OPEN_LIMIT_MS,
      settledBeforeMs: atMs - this.options.getRetentionMs(),
    };
    if (lostGateways.length === 0 && !state.needsSweep(sweep)) return;
    if (lostGateways.length > 0) {
      const {logger, group} = this.options;
      logger.warn('Settles the open requests of lost gateways as unknown.', {
        group,
        gateways: lostGateways,
      });
    }
    await propose({type: 'sweep', lostGateways, ...sweep});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.task?.[Symbol.asyncDispose]();
  }

  /** Finds the gateways that will not settle their open claims. */
  private async findLostGateways(): Promise<string[]> {
    const open = this.options.state.listOpenGateways();
    if (open.size === 0) {
      this.missingSince.clear();
      return [];
    }
    const holders = await this.options.listHolders();
    if (!holders) return [];
    const now = this.options.clock.monotonic();
    const live = new Set(holders.map(formatGateway));
    const names = new Set(holders.map(holder => holder.name));
    for (const gateway of this.missingSince.keys()) {
      if (!open.has(gateway) || live.has(gateway)) {
        this.missingSince.delete(gateway);
      }
    }
    return [...open].filter(gateway => {
      if (live.has(gateway)) return false;
      const since = this.missingSince.get(gateway) ?? now;
      this.missingSince.set(gateway, since);
      // A lease of a later process of that name means that this one ended.
      const name = gateway.slice(0, gateway.lastIndexOf('/'));
      return names.has(name) || now - since >= LOST_AFTER_MS;
    });
  }
}

/** Returns the name of a gateway process as it is stored in claims. */
export function formatGateway(holder: LeaseHolder): string {
  return `${holder.name}/${holder.incarnation}`;
}
