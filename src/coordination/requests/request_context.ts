/** What every request at a gateway shares. */
import type {Clock} from '../../protocol/clock.ts';
import type {ControlView} from '../../protocol/control.ts';
import type {RequestError} from '../../protocol/completion.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Endpoint} from '../membership/endpoint_table.ts';
import type {EvidenceCollector} from '../rollout/evidence_collector.ts';
import type {Dispatcher} from './dispatch.ts';
import type {LedgerClient} from './ledger_client.ts';

/** The parts of a gateway that requests use. */
export interface RequestContext {
  readonly gateway: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly clock: Clock;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly logger: Logger;
  readonly dispatcher: Dispatcher;
  readonly ledger: LedgerClient;
  /** Counts how versions serve, for the decisions about roll-outs. */
  readonly evidence: EvidenceCollector;
  /** The configuration in force, `null` when the lease has run out. */
  readonly getView: () => ControlView | null;
  readonly listEndpoints: () => Endpoint[];
}

/** How long a request may take in all when the caller does not say. */
export const DEFAULT_DEADLINE_MS = 120_000;

/** How long a stream may stay silent before its connection is given up. */
export const TOKEN_GAP_MS = 2_000;

/** The most attempts for one request. */
export const MAX_ATTEMPTS = 4;

/** The refusal of a gateway that cannot know the configuration in force. */
export const leaseExpiredError: RequestError = {
  outcome: 'not-run',
  code: 'configuration-unknown',
  message: 'Could not take the request: this gateway lost its lease',
  status: 503,
  retryAfterMs: 1_000,
};

/** The refusal when the ledger does not answer before anything was sent. */
export const ledgerUnavailableError: RequestError = {
  outcome: 'not-run',
  code: 'ledger-unavailable',
  message: 'Could not admit the request: the ledger did not answer',
  status: 503,
  retryAfterMs: 1_000,
};
