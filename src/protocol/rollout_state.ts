/** The state of roll-outs, and the evidence that gateways report. */
import * as z from 'zod';

/** The status of a roll-out. `backed-out` and `withdrawn` are final. */
export const rolloutStatusSchema = z.enum([
  'running',
  'paused',
  'completed',
  'backed-out',
  'withdrawn',
]);

export type RolloutStatus = z.infer<typeof rolloutStatusSchema>;

/** The committed state of one plan; a model has at most one plan. */
export const rolloutStateSchema = z.object({
  model: z.string(),
  version: z.string(),
  stable: z.string(),
  status: rolloutStatusSchema,
  /** The index of the current stage in the plan, from 0. */
  stage: z.int().nonnegative(),
  /** The version's share of requests, from 0 to 1. */
  share: z.number().min(0).max(1),
  /** When the stage began, in wall-clock time of the leader that began it. */
  stageSinceMs: z.number(),
  /** The reason for the current status. */
  reason: z.string(),
});

export type RolloutState = z.infer<typeof rolloutStateSchema>;

/** The number of equal histogram bins for ratings from 0 to 1. */
export const RATING_BINS = 20;

/** A gateway's counts for one version since the gateway started. */
export const versionEvidenceSchema = z.object({
  /** The version as `model/version`. */
  version: z.string(),
  /** The number of ratings in each bin, lowest first. */
  ratings: z.array(z.int().nonnegative()).length(RATING_BINS),
  requests: z.int().nonnegative(),
  /** Requests that failed at the version. */
  errors: z.int().nonnegative(),
  /** Requests whose first token missed the customer's objective. */
  slow: z.int().nonnegative(),
});

export type VersionEvidence = z.infer<typeof versionEvidenceSchema>;

/** How long requests ran or waited at a gateway since it started. */
export const demandReportSchema = z.array(
  z.object({
    /** The version as `model/version`. */
    version: z.string(),
    busyMs: z.number().nonnegative(),
  }),
);

export type DemandReport = z.infer<typeof demandReportSchema>;

/**
 * A gateway's report. Its counts are cumulative within one incarnation, so a
 * report replaces the previous one, and duplicates and losses are harmless.
 */
export const evidenceReportSchema = z.object({
  gateway: z.string(),
  incarnation: z.string(),
  versions: z.array(versionEvidenceSchema),
  /** Present in some reports only, since placement needs it less often. */
  demand: demandReportSchema.optional(),
});

export type EvidenceReport = z.infer<typeof evidenceReportSchema>;

/** Pauses or resumes a roll-out, on behalf of an operator. */
export const pauseCommandSchema = z.object({
  type: z.literal('pause_rollout'),
  model: z.string(),
  version: z.string(),
  paused: z.boolean(),
  atMs: z.number().default(0),
});

/** Ends a roll-out permanently, because of evidence or by an operator. */
export const endCommandSchema = z.object({
  type: z.literal('end_rollout'),
  model: z.string(),
  version: z.string(),
  /** `withdrawn` also withdraws the version. */
  status: z.enum(['backed-out', 'withdrawn']),
  reason: z.string(),
});

/** The commands of the control group that change roll-outs. */
export const rolloutCommandSchemas = [
  z.object({
    type: z.literal('advance_rollout'),
    model: z.string(),
    version: z.string(),
    /** The stage that ends; a no-op if another stage is current. */
    fromStage: z.int().nonnegative(),
    atMs: z.number(),
  }),
  endCommandSchema,
  pauseCommandSchema,
] as const;

export type RolloutCommand = z.infer<(typeof rolloutCommandSchemas)[number]>;
