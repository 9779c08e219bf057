/** Orders to endpoints: which versions to load. */
import * as z from 'zod';

/** An order, sent as `POST /v1/orders` with the endpoints' secret. */
export const orderSchema = z.object({
  /** The same for each repetition of one order. */
  id: z.string(),
  action: z.enum(['load', 'unload']),
  /** The version as `model/version`. */
  version: z.string(),
  /** A version that a load replaces, to make room. */
  replaces: z.string().optional(),
  /** Grows with each leader; an endpoint that checks refuses older ones. */
  fencing: z.int().nonnegative(),
});

export type Order = z.infer<typeof orderSchema>;

/**
 * What an endpoint answers. `accepted` says that it began or had done so
 * before; that it has finished shows in the versions that it announces.
 */
export const orderReplySchema = z.object({
  type: z.enum(['accepted', 'stale-fencing', 'refused']),
  message: z.string().default(''),
});

export type OrderReply = z.infer<typeof orderReplySchema>;
