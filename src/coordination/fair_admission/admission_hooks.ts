/** What the request path asks fair admission; absent where it is off. */
import type {ComputeUrgency} from './compute_urgency.ts';

export interface AdmissionHooks {
  /** The urgency of attempts at engines; by the model alone by default. */
  readonly computeUrgency?: ComputeUrgency;
}
