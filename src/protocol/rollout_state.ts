/** How far a roll-out has come, and what gateways report of it. */
import * as z from 'zod';

/** Where a roll-out stands. The last three statuses are final. */
export const rolloutStatusSchema = z.enum([
  'running',
  'paused',
  'completed',
  'backed-out',
  'withdrawn',
]);

export type RolloutStatus = z.infer<typeof rolloutStatusSchema>;

/** The committed state of one plan; at most one plan a model. */
export const rolloutStateSchema = z.object({
  model: z.string(),
  version: z.string(),
  stable: z.string(),
  status: rolloutStatusSchema,
  /** The position within the plan's stages, from 0. */
  stage: z.int().nonnegative(),
  /** The share of requests that the version gets, from 0 to 1. */
  share: z.number().min(0).max(1),
  /** When the stage began, as wall time of the leader that began it. */
  stageSinceMs: z.number(),
  /** Why the status is what it is. */
  reason: z.string(),
});

export type RolloutState = z.infer<typeof rolloutStateSchema>;

/** The number of equal intervals that ratings from 0 to 1 are counted in. */
export const RATING_BINS = 20;

/** What a gateway saw of one version since it started. */
export const versionEvidenceSchema = z.object({
  /** The version as `model/version`. */
  version: z.string(),
  /** Ratings counted by interval, the lowest first. */
  ratings: z.array(z.int().nonnegative()).length(RATING_BINS),
  requests: z.int().nonnegative(),
  /** Requests that the version failed. */
  errors: z.int().nonnegative(),
  /** Requests whose first token came later than the customer expects. */
  slow: z.int().nonnegative(),
});

export type VersionEvidence = z.infer<typeof versionEvidenceSchema>;

/** For how long requests ran or waited at a gateway, since its start. */
export const demandReportSchema = z.array(
  z.object({
    /** The version as `model/version`. */
    version: z.string(),
    busyMs: z.number().nonnegative(),
  }),
);

export type DemandReport = z.infer<typeof demandReportSchema>;

/**
 * A gateway's report. Its counts only ever grow within one incarnation, so
 * a report replaces the one before it and may arrive twice or not at all.
 */
export const evidenceReportSchema = z.object({
  gateway: z.string(),
  incarnation: z.string(),
  versions: z.array(versionEvidenceSchema),
  /** Present now and then; placement needs it less often. */
  demand: demandReportSchema.optional(),
});

export type EvidenceReport = z.infer<typeof evidenceReportSchema>;

/** An operator holds a roll-out where it is, or lets it go on. */
export const pauseCommandSchema = z.object({
  type: z.literal('pause_rollout'),
  model: z.string(),
  version: z.string(),
  paused: z.boolean(),
  atMs: z.number().default(0),
});

/** Ends a roll-out for good, by evidence or by an operator. */
export const endCommandSchema = z.object({
  type: z.literal('end_rollout'),
  model: z.string(),
  version: z.string(),
  /** `withdrawn` also withdraws the version. */
  status: z.enum(['backed-out', 'withdrawn']),
  reason: z.string(),
});

/** The orders about roll-outs, part of the control group's commands. */
export const rolloutCommandSchemas = [
  z.object({
    type: z.literal('advance_rollout'),
    model: z.string(),
    version: z.string(),
    /** The stage that ends; another stage in force makes this a no-op. */
    fromStage: z.int().nonnegative(),
    atMs: z.number(),
  }),
  endCommandSchema,
  pauseCommandSchema,
] as const;

export type RolloutCommand = z.infer<(typeof rolloutCommandSchemas)[number]>;
