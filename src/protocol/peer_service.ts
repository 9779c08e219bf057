/**
 * The calls between daemons.
 *
 * The transport layer serves and calls this interface; the layers below are
 * independent of connections and encodings.
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
import {createEntryList} from './parse_message.ts';
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

/** The result of a proposal. */
export type ProposeReply =
  | {readonly type: 'committed'; readonly result?: unknown}
  /** Nothing was appended; retry at `leader` if it is known. */
  | {readonly type: 'not-leader'; readonly leader: string | null}
  /** Appended, but leadership was lost before the commit was confirmed. */
  | {readonly type: 'unknown'};

export const exchangeRequestSchema = z.object({
  /** The data centre of the sender. */
  dataCentre: z.string(),
  /** Endpoints that are new or changed. */
  records: createEntryList(endpointRecordSchema),
  /** Endpoints whose lease was renewed without other changes. */
  renewals: createEntryList(endpointRenewalSchema),
});

export type ExchangeRequest = z.infer<typeof exchangeRequestSchema>;

export interface ExchangeReply {
  /** The number of records that were new to the receiver. */
  readonly accepted: number;
  /** Renewed endpoints whose records the receiver lacks. */
  readonly unknown: readonly string[];
}

export const inForceRequestSchema = z.object({
  revision: z.int().nonnegative(),
});

/** The daemons that may still act on an older configuration. */
export type InForceReply =
  | {
      readonly type: 'behind';
      /** Names of daemons; `null` while a new leader does not know them yet. */
      readonly hosts: readonly string[] | null;
      /** Daemons that may be partitioned and serve pools that allow it. */
      readonly unreachable: readonly UnreachableRegion[];
    }
  | {readonly type: 'not-leader'; readonly leader: string | null};

export const emptyRequestSchema = z.object({});

export type EmptyRequest = z.infer<typeof emptyRequestSchema>;

/** The holders of a configuration lease. */
export type LeaseHoldersReply =
  | {
      readonly type: 'holders';
      /** `null` while a new leader does not know them yet. */
      readonly holders: readonly LeaseHolder[] | null;
    }
  | {readonly type: 'not-leader'; readonly leader: string | null};

export const ledgerReadSchema = z.object({
  group: z.string(),
  /** Reads the bills after this sequence number. */
  after: z.int().nonnegative(),
});

export type LedgerRead = z.infer<typeof ledgerReadSchema>;

/** Bills and statistics, or a redirect to the group's leader. */
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

/** The replies that list endpoints. */
export const peerReplySchemas = {
  listEndpoints: z.object({records: createEntryList(endpointRecordSchema)}),
} as const;

/** The names of the calls. */
export const PEER_CALLS = Object.keys(peerSchemas);

/** The calls that a daemon serves to its peers. */
export interface PeerService extends ReplicationService {
  /** Records evidence; `taken` is false if this daemon is not the leader. */
  reportEvidence(report: EvidenceReport): Promise<{readonly taken: boolean}>;
  propose(request: ProposeRequest): Promise<ProposeReply>;
  /** Proposes several commands; returns a reply for each, in order. */
  proposeAll(request: ProposeAllRequest): Promise<readonly ProposeReply[]>;
  /** Renews a daemon's lease, at any replica of the control group. */
  renewLease(request: LeaseRequest): Promise<LeaseReply>;
  /** Grants a replica's batch of renewals, at the control group's leader. */
  grantLeases(request: GrantRequest): Promise<GrantReply>;
  /** Lists the lease holders, at the control group's leader. */
  listLeaseHolders(request: EmptyRequest): Promise<LeaseHoldersReply>;
  /** Reads bills and statistics, at the leader of a ledger group. */
  readLedger(request: LedgerRead): Promise<LedgerReadReply>;
  /** Lists the endpoints known here, for a daemon that restarted. */
  listEndpoints(
    request: EmptyRequest,
  ): Promise<{readonly records: readonly EndpointRecord[]}>;
  checkInForce(
    request: z.infer<typeof inForceRequestSchema>,
  ): Promise<InForceReply>;
  exchange(request: ExchangeRequest): Promise<ExchangeReply>;
}
