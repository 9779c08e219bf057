/**
 * What daemons ask of each other.
 *
 * The transport layer serves and calls this interface; the layers below know
 * neither connections nor encodings.
 */
import * as z from 'zod';
import {
  grantRequestSchema,
  leaseRequestSchema,
  type GrantReply,
  type GrantRequest,
  type LeaseHolder,
  type LeaseReply,
  type LeaseRequest,
  type UnreachableRegion,
} from './control.ts';
import {
  endpointRecordSchema,
  endpointRenewalSchema,
  type EndpointRecord,
} from './endpoint.ts';
import type {LedgerPage, LedgerSummary} from './ledger.ts';
import {replicationSchemas, type ReplicationService} from './replication.ts';
import {evidenceReportSchema, type EvidenceReport} from './rollout_state.ts';

export const proposeRequestSchema = z.object({
  group: z.string(),
  command: z.unknown(),
});

/** Commands of one group that are proposed together. */
export const proposeAllRequestSchema = z.object({
  group: z.string(),
  commands: z.array(z.unknown()).max(256),
});

export type ProposeAllRequest = z.infer<typeof proposeAllRequestSchema>;

export type ProposeRequest = z.infer<typeof proposeRequestSchema>;

/** What became of a proposal. */
export type ProposeReply =
  | {readonly type: 'committed'; readonly result?: unknown}
  /** Nothing was appended; ask `leader` when it is known. */
  | {readonly type: 'not-leader'; readonly leader: string | null}
  /** Appended, but leadership was lost before the commit was seen. */
  | {readonly type: 'unknown'};

export const exchangeRequestSchema = z.object({
  /** The data centre of the daemon that sends. */
  dataCentre: z.string(),
  /** Endpoints that are new or changed. */
  records: z.array(endpointRecordSchema),
  /** Endpoints that only live on. */
  renewals: z.array(endpointRenewalSchema),
});

export type ExchangeRequest = z.infer<typeof exchangeRequestSchema>;

export interface ExchangeReply {
  /** How many records were news. */
  readonly accepted: number;
  /** Renewed endpoints whose records are missing here. */
  readonly unknown: readonly string[];
}

export const inForceRequestSchema = z.object({
  revision: z.int().nonnegative(),
});

/** Who may still act on an older configuration. */
export type InForceReply =
  | {
      readonly type: 'behind';
      /** Names of daemons; `null` while a new leader cannot know them. */
      readonly hosts: readonly string[] | null;
      /** Who may be cut off and act on older pools that allow it. */
      readonly unreachable: readonly UnreachableRegion[];
    }
  | {readonly type: 'not-leader'; readonly leader: string | null};

export const emptyRequestSchema = z.object({});

export type EmptyRequest = z.infer<typeof emptyRequestSchema>;

/** Who holds a configuration lease. */
export type LeaseHoldersReply =
  | {
      readonly type: 'holders';
      /** `null` while a new leader cannot know them. */
      readonly holders: readonly LeaseHolder[] | null;
    }
  | {readonly type: 'not-leader'; readonly leader: string | null};

export const ledgerReadSchema = z.object({
  group: z.string(),
  /** Bills that follow this sequence number are read. */
  after: z.int().nonnegative(),
});

export type LedgerRead = z.infer<typeof ledgerReadSchema>;

/** What the leader of a ledger group knows. */
export type LedgerReadReply =
  | {
      readonly type: 'read';
      readonly page: LedgerPage;
      readonly status: LedgerSummary;
    }
  | {readonly type: 'not-leader'; readonly leader: string | null};

export const peerSchemas = {
  grantLeases: grantRequestSchema,
  listLeaseHolders: emptyRequestSchema,
  readLedger: ledgerReadSchema,
  listEndpoints: emptyRequestSchema,
  reportEvidence: evidenceReportSchema,
  checkInForce: inForceRequestSchema,
  ...replicationSchemas,
  propose: proposeRequestSchema,
  proposeAll: proposeAllRequestSchema,
  renewLease: leaseRequestSchema,
  exchange: exchangeRequestSchema,
} as const;

/** The names of the calls. */
export const PEER_CALLS = Object.keys(peerSchemas);

/** The calls that a daemon answers to its peers. */
export interface PeerService extends ReplicationService {
  /** Takes evidence in; false where this daemon does not lead. */
  reportEvidence(report: EvidenceReport): Promise<{readonly taken: boolean}>;
  propose(request: ProposeRequest): Promise<ProposeReply>;
  /** Proposes several commands; a reply for each, in their order. */
  proposeAll(request: ProposeAllRequest): Promise<readonly ProposeReply[]>;
  /** Answers a daemon's renewal, at any replica of the control group. */
  renewLease(request: LeaseRequest): Promise<LeaseReply>;
  /** Grants what a replica gathered, at the leader of the control group. */
  grantLeases(request: GrantRequest): Promise<GrantReply>;
  /** Lists the lease holders, at the leader of the control group. */
  listLeaseHolders(request: EmptyRequest): Promise<LeaseHoldersReply>;
  /** Reads bills and figures, at the leader of a ledger group. */
  readLedger(request: LedgerRead): Promise<LedgerReadReply>;
  /** Lists the endpoints that a daemon knows of, for one that restarted. */
  listEndpoints(
    request: EmptyRequest,
  ): Promise<{readonly records: readonly EndpointRecord[]}>;
  checkInForce(
    request: z.infer<typeof inForceRequestSchema>,
  ): Promise<InForceReply>;
  exchange(request: ExchangeRequest): Promise<ExchangeReply>;
}
