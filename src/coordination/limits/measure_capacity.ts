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

/** The queue of a pool that is not declared. */
const DEFAULT_QUEUE = 64;

export interface MeasureCapacityOptions {
  /** The pool as it is declared. */
  readonly pool?: Pool;
  /** The gateways that share the pool; one by default. */
  readonly gateways?: number;
}

/**
 * Measures the capacity: what others leave, and at least an even share, so
 * that gateways which all want more than there is do not swing.
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
