/** Sends placement orders to endpoints over HTTP. */
import {request} from 'undici';
import {
  orderReplySchema,
  type Order,
  type OrderReply,
} from '../../protocol/order.ts';

/**
 * Creates the function that sends an order. It rejects if the outcome is
 * unknown: on a failed call, a timeout or a malformed reply. A status from 400
 * up is a refusal.
 */
export function createOrderClient(secret: string) {
  return async (
    address: string,
    order: Order,
    timeoutMs: number,
  ): Promise<OrderReply> => {
    const response = await request(`http://${address}/v1/orders`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${secret}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify(order),
      signal: AbortSignal.timeout(timeoutMs),
    });
    if (response.statusCode >= 400) {
      await response.body.dump();
      const message = `status ${response.statusCode}`;
      return {type: 'refused', message};
    }
    return orderReplySchema.parse(await response.body.json());
  };
}
