/** How much of a pool one gateway may use. */
import type {Pool} from '../../protocol/declaration.ts';
import type {PoolCapacity} from './permit.ts';

/** The endpoints of a pool in sum, as this gateway sees them. */
export interface PoolMeasure {
  readonly slots: number;
  /** Slots that other gateways leave. */
  readonly free: number;
  readonly endpoints: number;
}

/** The share of a pool that a gateway may use whatever the others do. */
const GUARANTEED_SHARE = 0.125;

/** The queue of a pool that is not declared. */
const DEFAULT_QUEUE = 64;

/** Measures the capacity: what others leave, within the declared limits. */
export function measureCapacity(
  {slots, free, endpoints}: PoolMeasure,
  pool?: Pool,
): PoolCapacity {
  const declared = pool ? pool.concurrency * endpoints : Infinity;
  const usable = Math.min(slots, declared);
  const left = usable - (slots - free);
  const guaranteed = Math.ceil(usable * GUARANTEED_SHARE);
  return {
    slots: endpoints === 0 ? 0 : Math.max(left, guaranteed),
    queue: pool?.queue ?? DEFAULT_QUEUE,
  };
}
