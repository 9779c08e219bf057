/** Orders and departures in quick succession that press on a simulated core. */
import type {Draws} from '../../protocol/seeded_draws.ts';
import type {Prices} from './priced_processor.ts';

export interface Pressure {
  /** What the work of daemons costs; by default nothing. */
  readonly prices?: Prices | undefined;
  /** The endpoints, of which herds leave. */
  readonly endpoints: number;
  /** The share of acks to operators that are lost on their way. */
  readonly lostAckShare: number;
}

/** An order, some time after the one before it. */
export interface PlannedOrder {
  readonly delayMs: number;
  /** How many operators send it at the same time. */
  readonly operators: number;
}

/** Draws a single order, a storm, several in one moment, or a race. */
export function drawOrders(draws: Draws): PlannedOrder[] {
  const delayMs = draws.log(300, 4_000);
  const first = {delayMs, operators: 1};
  const kind = draws.next();
  if (kind < 0.4) return [first];
  if (kind < 0.55) return [{delayMs, operators: 2}];
  if (kind < 0.75) {
    return [first, ...repeat(3, () => ({delayMs: 0, operators: 1}))];
  }
  const gapMs = draws.log(40, 250);
  return [
    first,
    ...repeat(draws.between(8, 24), () => ({delayMs: gapMs, operators: 1})),
  ];
}

/** Draws when the next herd leaves, how large it is and how fast it leaves. */
export function drawHerd(draws: Draws) {
  return {
    delayMs: draws.log(2_000, 9_000),
    share: draws.log(0.2, 1),
    withinMs: draws.log(100, 1_500),
  };
}

function repeat<T>(count: number, create: () => T): T[] {
  return Array.from({length: count}, create);
}
