/** Computes how much of a pool one gateway may use. */
import type {Pool} from '../../protocol/declaration.ts';
import type {PoolCapacity} from './permit.ts';

/** The totals over a pool's endpoints, as known to this gateway. */
export interface PoolMeasure {
  readonly slots: number;
  /** Slots that other gateways do not use. */
  readonly free: number;
  readonly endpoints: number;
}

/** The queue length of a pool that is not declared. */
const DEFAULT_QUEUE = 64;

export interface MeasureCapacityOptions {
  /** The pool's declaration. */
  readonly pool?: Pool;
  /** The number of gateways that share the pool; one by default. */
  readonly gateways?: number;
}

/**
 * Returns the slots that other gateways do not use, and at least an even share:
 * without it, gateways that compete for a full pool would oscillate.
 */
export function measureCapacity(
  {slots, free, endpoints}: PoolMeasure,
  {pool, gateways = 1}: MeasureCapacityOptions = {},
): PoolCapacity {
  const declared = pool ? pool.concurrency * endpoints : Infinity;
  const usable = Math.min(slots, declared);
  const available = usable - (slots - free);
  const fairShare = Math.ceil(usable / Math.max(1, gateways));
  return {
    slots: endpoints === 0 ? 0 : Math.max(available, fairShare),
    queue: pool?.queue ?? DEFAULT_QUEUE,
  };
}
