/** Compares where daemons are. */
import type {Gateway} from '../../protocol/gateway_entry.ts';

type Place = Pick<Gateway, 'region' | 'dataCentre'>;

/** 0 in the same data centre, 1 in the same region, 2 elsewhere. */
export function computeDistance(from: Place, to: Place): 0 | 1 | 2 {
  if (to.dataCentre === from.dataCentre) return 0;
  return to.region === from.region ? 1 : 2;
}
