/** Asks the core for the permission to send a request with suspected parts. */
import type {Logger} from '../../protocol/logger.ts';
import type {
  TrialResult,
  TrialReply,
  TrialRequest,
} from '../../protocol/suspect_part.ts';
import {computeShare} from './hash.ts';

/** The timeout of a call: a round trip between regions, and one more. */
const CALL_TIMEOUT_MS = 250;

/** How many core daemons are asked while they do not answer. */
const MAX_DAEMONS = 2;

/** Talks to the core daemon that permits trials. */
export interface TrialClient {
  /** Resolves to `null` when no core daemon answers. */
  request(request: TrialRequest): Promise<TrialReply | null>;
  finish(request: TrialResult): Promise<void>;
}

/** The calls of one core daemon. */
export interface TrialService {
  requestTrial(request: TrialRequest, timeoutMs: number): Promise<TrialReply>;
  finishTrial(request: TrialResult, timeoutMs: number): Promise<unknown>;
}

export interface TrialClientOptions {
  readonly logger: Logger;
  /** Lists the addresses of the core daemons. */
  readonly listCores: () => readonly string[];
  readonly getService: (address: string) => TrialService;
}

/**
 * Creates a client. All gateways ask the same daemon for a service, so that it
 * alone decides.
 */
export function createTrialClient(options: TrialClientOptions): TrialClient {
  const {getService} = options;
  return {
    request: request =>
      callFirst(options, request, address =>
        getService(address).requestTrial(request, CALL_TIMEOUT_MS),
      ),
    async finish(request) {
      await callFirst(options, request, address =>
        getService(address).finishTrial(request, CALL_TIMEOUT_MS),
      );
    },
  };
}

/** Calls the first daemon that answers; `null` when none does. */
async function callFirst<T>(
  {logger, listCores}: TrialClientOptions,
  {service}: TrialRequest,
  call: (address: string) => Promise<T>,
): Promise<T | null> {
  const getRank = (address: string) => computeShare(`${address}/${service}`);
  const addresses = [...listCores()].sort((a, b) => getRank(b) - getRank(a));
  for (const address of addresses.slice(0, MAX_DAEMONS)) {
    try {
      return await call(address);
    } catch (error) {
      logger.warn('Could not call the core about suspected prompt parts.', {
        address,
        service,
        reason: (error as Error).message,
      });
    }
  }
  return null;
}
