/** Asks the store of weights how long a load of a version would take. */
import type {Outcome} from '../../protocol/outcome.ts';
import {
  weightsReplySchema,
  type WeightsReply,
} from '../../protocol/external_services.ts';
import {callExternalService} from './call_service.ts';

/** How long the store may take to answer. */
const TIMEOUT_MS = 2_000;

/** Describes the weights of a version, named as `model/version`. */
export type DescribeWeights = (
  version: string,
) => Promise<Outcome<WeightsReply, string>>;

/** Creates the client. */
export function createWeightClient(address: string): DescribeWeights {
  return version =>
    callExternalService({
      address,
      method: 'GET',
      path: `/v1/weights/${version.split('/').map(encodeURIComponent).join('/')}`,
      schema: weightsReplySchema,
      deadlineMs: TIMEOUT_MS,
    });
}
