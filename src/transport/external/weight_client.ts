/** Asks the weight store how long loading a version would take. */
import type {Outcome} from '../../protocol/outcome.ts';
import {
  weightsReplySchema,
  type WeightsReply,
} from '../../protocol/external_services.ts';
import {callExternalService} from './call_external_service.ts';

/** Timeout for the store's reply. */
const TIMEOUT_MS = 2_000;

/** Describes the weights of a version, given as `model/version`. */
export type DescribeWeights = (
  version: string,
) => Promise<Outcome<WeightsReply, string>>;

/** Creates a client of the weight store at `address`. */
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
