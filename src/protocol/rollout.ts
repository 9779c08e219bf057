/** A roll-out as the decisions about requests see it. */
import {z} from 'zod';

/** How the answers of a candidate reach callers. */
export const exposureSchema = z.enum(['direct', 'gated', 'shadow']);

export type Exposure = z.infer<typeof exposureSchema>;

/** The state of one model's roll-out in force. */
export const rolloutViewSchema = z.object({
  model: z.string(),
  /** The version that is rolled out, as `model/version`. */
  candidate: z.string(),
  /** The version that it replaces, as `model/version`. */
  stable: z.string(),
  /** The candidate's share of sessions and requests, from 0 to 1. */
  share: z.number().min(0).max(1),
  /**
   * `gated`: an answer is rated before its release, the stable version's
   * replaces a poor one. `shadow`: the candidate runs beside the stable
   * version and its answer is only rated. The stricter of this and the
   * customer's own exposure applies.
   */
  mode: exposureSchema,
  /** Only a running roll-out, or one that is done, sends work. */
  status: z.enum(['running', 'halted', 'backed-out', 'done']),
});

export type RolloutView = z.infer<typeof rolloutViewSchema>;
