/** Calls the rating service. Any failure is treated as a missing rating. */
import {fail, succeed} from '../../protocol/outcome.ts';
import {ratingReplySchema} from '../../protocol/external_services.ts';
import type {RateAnswer} from '../../coordination/requests/request_context.ts';
import {callExternalService} from './call_external_service.ts';

/** Creates the client; without an address, every rating fails. */
export function createRatingClient(address: string | undefined): RateAnswer {
  if (address === undefined) return async () => fail('no service is set');
  return async rated => {
    const reply = await callExternalService({
      address,
      method: 'POST',
      path: '/v1/ratings',
      body: {
        request_id: rated.requestId,
        customer: rated.customer,
        class: rated.requestClass,
        version: rated.version,
        prompt: rated.prompt,
        answer: rated.answer,
      },
      schema: ratingReplySchema,
      deadlineMs: rated.deadlineMs,
    });
    if (!reply.ok) return reply;
    const {score} = reply.value;
    return score === null ? fail('the service has no opinion') : succeed(score);
  };
}
