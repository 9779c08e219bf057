/** Asks the core for the permission to send a request with suspected parts. */
import type {Logger} from '../../protocol/logger.ts';
import type {TrialReply, TrialRequest} from '../../protocol/suspect_part.ts';
import {computeShare} from './hash.ts';

/** The timeout of a call: a round trip between regions, and one more. */
const CALL_TIMEOUT_MS = 250;

/** How many core daemons are asked while they do not answer. */
const MAX_DAEMONS = 2;

export interface TrialRequesterOptions {
  readonly logger: Logger;
  /** Lists the addresses of the core daemons. */
  readonly listCores: () => readonly string[];
  readonly call: (
    address: string,
    request: TrialRequest,
    timeoutMs: number,
  ) => Promise<TrialReply>;
}

/**
 * Creates the function that asks. All gateways ask the same daemon for a
 * service, so that it alone decides; without an answer nothing is permitted.
 */
export function createTrialRequester({
  logger,
  listCores,
  call,
}: TrialRequesterOptions): (request: TrialRequest) => Promise<boolean> {
  return async request => {
    const getRank = (address: string) =>
      computeShare(`${address}/${request.service}`);
    const addresses = [...listCores()].sort((a, b) => getRank(b) - getRank(a));
    for (const address of addresses.slice(0, MAX_DAEMONS)) {
      try {
        return (await call(address, request, CALL_TIMEOUT_MS)).isGranted;
      } catch (error) {
        logger.warn('Could not ask for a trial of suspected prompt parts.', {
          address,
          service: request.service,
          reason: (error as Error).message,
        });
      }
    }
    return false;
  };
}
