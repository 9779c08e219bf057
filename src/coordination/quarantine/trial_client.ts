/** Asks the core for the permission to send a request with suspected parts. */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {
  TrialResult,
  TrialReply,
  TrialRequest,
} from '../../protocol/suspect.ts';
import {computeShare} from '../forwarding/hash.ts';

/** The timeout of a call: a round trip between regions, and one more. */
const CALL_TIMEOUT_MS = 250;

/**
 * How long a daemon that did not answer is asked last. It is short, since two
 * gateways that ask different daemons may get a permission each.
 */
const AVOID_SILENT_MS = 3_000;

/** How many core daemons a call asks while they do not answer. */
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
  readonly clock: Clock;
  readonly logger: Logger;
  /** Lists the addresses of the core daemons. */
  readonly listCores: () => readonly string[];
  readonly getService: (address: string) => TrialService;
}

/**
 * Creates a client. All gateways ask the same daemon for a service, so that it
 * alone decides. One that did not answer is asked after the others for a while.
 */
export function createTrialClient(options: TrialClientOptions): TrialClient {
  const {clock, logger, listCores, getService} = options;
  /** When daemons that did not answer may be asked in their order again. */
  const silentUntil = new Map<string, number>();

  /** Lists the daemons in the order in which a service asks them. */
  const listDaemons = (service: string) => {
    const now = clock.monotonic();
    for (const [address, until] of silentUntil) {
      if (until <= now) silentUntil.delete(address);
    }
    const daemons = listCores().map(address => ({
      address,
      silentUntil: silentUntil.get(address) ?? 0,
      rank: computeShare(`${address}/${service}`),
    }));
    return daemons
      .sort((a, b) => a.silentUntil - b.silentUntil || b.rank - a.rank)
      .map(({address}) => address);
  };

  /** Calls the first daemon that answers; `null` when none does. */
  const callFirst = async <T>(
    {service}: TrialRequest,
    call: (address: string) => Promise<T>,
  ): Promise<T | null> => {
    for (const address of listDaemons(service).slice(0, MAX_DAEMONS)) {
      try {
        return await call(address);
      } catch (error) {
        silentUntil.set(address, clock.monotonic() + AVOID_SILENT_MS);
        logger.warn('Could not call the core about suspected prompt parts.', {
          address,
          service,
          reason: (error as Error).message,
        });
      }
    }
    return null;
  };

  return {
    request: request =>
      callFirst(request, address =>
        getService(address).requestTrial(request, CALL_TIMEOUT_MS),
      ),
    async finish(request) {
      await callFirst(request, address =>
        getService(address).finishTrial(request, CALL_TIMEOUT_MS),
      );
    },
  };
}
