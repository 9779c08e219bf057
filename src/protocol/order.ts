/** Orders to endpoints to load or unload versions. */
import * as z from 'zod';

/** The body of `POST /v1/orders`, sent with the endpoints' secret. */
export const orderSchema = z.object({
  /** The same in every retry of one order. */
  id: z.string(),
  action: z.enum(['load', 'unload']),
  /** The version as `model/version`. */
  version: z.string(),
  /** The version to unload so that the new one fits. */
  replaces: z.string().optional(),
  /** Increases with each leader; endpoints that check it reject older ones. */
  fencing: z.int().nonnegative(),
});

export type Order = z.infer<typeof orderSchema>;

/**
 * An endpoint's reply. `accepted` means that the order has begun, now or
 * earlier; its completion shows in the versions that the endpoint announces.
 */
export const orderReplySchema = z.object({
  type: z.enum(['accepted', 'stale-fencing', 'refused']),
  message: z.string().default(''),
});

export type OrderReply = z.infer<typeof orderReplySchema>;
