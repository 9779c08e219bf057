/** External services: ratings of answers, and the store of weights. */
import * as z from 'zod';

/** An answer to rate: the body of `POST /v1/ratings`. */
export const ratingRequestSchema = z.object({
  request_id: z.string(),
  customer: z.string(),
  /** The request class. */
  class: z.string(),
  /** The version as `model/version`. */
  version: z.string(),
  /** The messages of the request, as the caller sent them. */
  prompt: z.unknown(),
  answer: z.string(),
});

export type RatingServiceRequest = z.infer<typeof ratingRequestSchema>;

/** A rating. Unknown fields are tolerated. */
export const ratingReplySchema = z.object({
  /** From 0 to 1; `null` where the service has no opinion. */
  score: z.number().min(0).max(1).nullable(),
});

export type RatingServiceReply = z.infer<typeof ratingReplySchema>;

/** What the store says of a version: `GET /v1/weights/MODEL/VERSION`. */
export const weightsReplySchema = z.object({
  /** The version as `model/version`. */
  version: z.string(),
  bytes: z.number().nonnegative(),
  /** The rate at which one load is served, in bytes a second. */
  rate: z.number().positive(),
  /** How long a new load waits before it begins. */
  wait_ms: z.number().nonnegative(),
});

export type WeightsReply = z.infer<typeof weightsReplySchema>;
