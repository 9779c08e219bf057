/**
 * The departures that one core daemon has got, so that further questions on them name
 * a revision of its list in place of each departure.
 */
import type {
  ConfirmReply,
  ConfirmRequest,
} from '../../protocol/confirmation.ts';
import {createStartKey} from '../quarantine/endpoint_ends.ts';

type Departure = ConfirmRequest['departures'][number];

/** The departures of a question, and what stands for the others. */
export type AskedDepartures = Pick<ConfirmRequest, 'departures' | 'required'>;

export class HeldDepartures {
  /** The run of the daemon that has them; `null` if it tells none. */
  private run: string | null = null;
  /** The revisions of its list that have them. */
  private readonly revisions = new Map<string, number>();

  /** Selects what a question on the departures that wait has to carry. */
  select(departures: readonly Departure[]): AskedDepartures {
    this.prune(departures);
    const known = departures.flatMap(
      each => this.revisions.get(createKey(each)) ?? [],
    );
    if (this.run === null || known.length === 0) {
      return {departures: [...departures]};
    }
    return {
      departures: departures.filter(
        each => !this.revisions.has(createKey(each)),
      ),
      required: {run: this.run, endpointRevision: Math.max(...known)},
    };
  }

  /**
   * Records the reply to a question; false if it came of another run of the daemon
   * than that which has what the question left out.
   */
  record(
    {departures, required}: AskedDepartures,
    {run, endpointRevision, readsRequired = false}: ConfirmReply,
  ): boolean {
    if (run !== this.run) this.reset();
    this.run = readsRequired && run !== undefined ? run : null;
    if (this.run !== null && endpointRevision !== undefined) {
      for (const each of departures) {
        this.revisions.set(createKey(each), endpointRevision);
      }
    }
    return required === undefined || required.run === run;
  }

  /** Forgets what the daemon has. */
  reset(): void {
    this.run = null;
    this.revisions.clear();
  }

  private prune(waiting: readonly Departure[]): void {
    const keys = new Set(waiting.map(createKey));
    for (const key of this.revisions.keys()) {
      if (!keys.has(key)) this.revisions.delete(key);
    }
  }
}

function createKey(departure: Departure): string {
  return `${createStartKey(departure)} ${departure.state}`;
}
