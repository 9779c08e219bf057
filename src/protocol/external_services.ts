/** External services: the rating service and the weight store. */
import * as z from 'zod';

/** A request to rate an answer: the body of `POST /v1/ratings`. */
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

/** A rating. Unknown fields are ignored. */
export const ratingReplySchema = z.object({
  /** From 0 to 1; `null` if the service cannot rate the answer. */
  score: z.number().min(0).max(1).nullable(),
});

export type RatingServiceReply = z.infer<typeof ratingReplySchema>;

/** The weight store's reply to `GET /v1/weights/MODEL/VERSION`. */
export const weightsReplySchema = z.object({
  /** The version as `model/version`. */
  version: z.string(),
  bytes: z.number().nonnegative(),
  /** The throughput of one load, in bytes per second. */
  rate: z.number().positive(),
  /** How long a new load is queued before it starts. */
  wait_ms: z.number().nonnegative(),
});

export type WeightsReply = z.infer<typeof weightsReplySchema>;
