/**
 * Acknowledges that endpoints leave, once the gateways know it, and the disks of most
 * core daemons hold it.
 *
 * An endpoint repeats that it leaves; only the first time takes a wait.
 */
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {ReportOutcome} from '../core/endpoint_registry.ts';
import {createStartKey} from '../quarantine/endpoint_ends.ts';
import type {Confirmer} from './confirmer.ts';

/** Departures of which it is remembered that they were acknowledged. */
const MAX_REMEMBERED = 4_096;

export interface DeparturesOptions {
  readonly logger: Logger;
  readonly confirmer: Pick<Confirmer, 'waitUntilObeyed'>;
  /** Finds what is known of an endpoint. */
  readonly find: (id: string) => EndpointReport | null;
}

export class Departures {
  /** Departures that were confirmed, or are being confirmed. */
  private readonly known = new Map<string, Promise<boolean>>();

  constructor(private readonly options: DeparturesOptions) {}

  /**
   * Resolves once the departure may be acknowledged; to false if a majority of
   * the core daemons did not save it, or if it was ignored here.
   */
  async acknowledge(
    report: EndpointReport,
    outcome: ReportOutcome,
  ): Promise<boolean> {
    const known = this.options.find(report.id);
    // Another endpoint has the address.
    if (!known || known.startedAtMs < report.startedAtMs) return true;
    const isReplaced = known.startedAtMs > report.startedAtMs;
    if (known.state === 'ready' && !isReplaced) {
      const {id, startedAtMs, sequence} = report;
      this.options.logger.warn(
        'Does not acknowledge a departure: a later report says that it is ready.',
        {id, startedAtMs, sequence, laterSequence: known.sequence},
      );
      return false;
    }
    const key = `${createStartKey(report)} ${report.state}`;
    const pending = this.known.get(key) ?? this.confirm(report, outcome);
    this.known.set(key, pending);
    this.prune();
    const isHeld = await pending;
    if (!isHeld) this.known.delete(key);
    return isHeld;
  }

  /** Waits until a departure holds; that of a start before the last by the last. */
  private async confirm(
    report: EndpointReport,
    outcome: ReportOutcome,
  ): Promise<boolean> {
    const {id, startedAtMs, state} = report;
    const known = this.options.find(id);
    if (!known) return false;
    const {isHeld, behind} = await this.options.confirmer.waitUntilObeyed({
      kind: 'departure',
      change: `${createStartKey(report)} ${state}`,
      configurationRevision: 0,
      departures: [known],
    });
    const message = isHeld
      ? 'Acknowledges the departure of an endpoint.'
      : 'Cannot acknowledge a departure: most core daemons did not save it.';
    const fields = {id, startedAtMs, state, outcome, behind: behind.length};
    this.options.logger.info(message, fields);
    return isHeld;
  }

  private prune(): void {
    if (this.known.size <= MAX_REMEMBERED) return;
    const [oldest] = this.known.keys();
    if (oldest !== undefined) this.known.delete(oldest);
  }
}
