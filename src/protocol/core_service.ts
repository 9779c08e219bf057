/**
 * What the daemons of a routing deployment ask of each other.
 *
 * Daemons with a disk form the core: they replicate the configuration, take
 * the endpoints' heartbeats and exchange what they know. Each gateway follows
 * one of them by held-open calls.
 */
import * as z from 'zod';
import {endpointEntrySchema, endpointReportSchema} from './endpoint_report.ts';
import {proposeRequestSchema, type ProposeReply} from './peer_service.ts';
import {replicationSchemas, type ReplicationService} from './replication.ts';

/** A daemon of the core. */
export const coreDaemonSchema = z.object({
  /** Where it listens for other daemons; also its name as a replica. */
  address: z.string(),
  region: z.string(),
  dataCentre: z.string(),
  /** Where workers and operators reach it. */
  controlAddress: z.string(),
});

export type CoreDaemon = z.infer<typeof coreDaemonSchema>;

/** A gateway as callers may be told of it. */
export const gatewaySchema = z.object({
  /** Where callers reach it. */
  address: z.string(),
  region: z.string(),
  dataCentre: z.string(),
  /** False while it stops or knows no configuration. */
  open: z.boolean(),
});

export type Gateway = z.infer<typeof gatewaySchema>;

/** What one gateway saw of one version on one route during a roll-out. */
export const versionEvidenceSchema = z.object({
  service: z.string(),
  version: z.string(),
  route: z.string(),
  answers: z.int().nonnegative(),
  failures: z.int().nonnegative(),
  /** How many took so long that they count as slow. */
  slow: z.int().nonnegative(),
});

export type VersionEvidence = z.infer<typeof versionEvidenceSchema>;

/** Requests that one gateway has open at an endpoint. */
export const endpointLoadSchema = z.object({
  id: z.string(),
  open: z.int().nonnegative(),
  /** How long it still reads their prompts, in ms; earlier versions do not tell. */
  readingMs: z.number().nonnegative().default(0),
});

export type EndpointLoad = z.infer<typeof endpointLoadSchema>;

/** A start of an endpoint that told a gateway that it leaves. */
export const leavingEndpointSchema = z.object({
  id: z.string(),
  startedAtMs: z.number(),
});

export type LeavingEndpoint = z.infer<typeof leavingEndpointSchema>;

/** What a gateway says of itself. */
export const gatewayReportSchema = z.object({
  gateway: gatewaySchema,
  loads: z.array(endpointLoadSchema),
  evidence: z.array(versionEvidenceSchema),
  /** Gateways of earlier versions do not tell. */
  leaving: z.array(leavingEndpointSchema).default([]),
});

export type GatewayReport = z.infer<typeof gatewayReportSchema>;

/** The last report of a gateway, as one daemon of the core tells another. */
export const agedReportSchema = z.object({
  report: gatewayReportSchema,
  /** How long ago the gateway sent it, in ms. */
  ageMs: z.number().nonnegative(),
});

export type AgedReport = z.infer<typeof agedReportSchema>;

/** The state of the roll-out of one service. */
export const serviceRolloutSchema = z.object({
  service: z.string(),
  target: z.string(),
  state: z.enum(['running', 'complete', 'reverted']),
  /** The version that was in use before, where it is known. */
  stable: z.string().nullable(),
  /** Versions that were reverted; they get no requests. */
  rejected: z.array(z.string()),
  /** The share of requests for the target while it runs. */
  share: z.number().min(0).max(1),
  /** Whether sessions may move to the target, too, and not only new requests. */
  movesSessions: z.boolean().default(false),
  beganAtMs: z.number(),
  durationMs: z.number(),
});

export type ServiceRollout = z.infer<typeof serviceRolloutSchema>;

/** What is in force. */
export const configurationSchema = z.object({
  /** The position in the log at which it last changed. */
  revision: z.int().nonnegative(),
  /** The version of the document; `null` before the first. */
  version: z.number().nullable(),
  /** The document as the operator sent it. */
  document: z.string().nullable(),
  rollouts: z.array(serviceRolloutSchema),
});

export type Configuration = z.infer<typeof configurationSchema>;

export const followRequestSchema = z.object({
  report: gatewayReportSchema,
  /** Which life of which core daemon the revision below belongs to. */
  epoch: z.string(),
  /** The last change of endpoints that the gateway knows of. */
  endpointRevision: z.int().nonnegative(),
  configurationRevision: z.int().nonnegative(),
  /** The last change of open gateways that the gateway knows of. */
  gatewayRevision: z.int().nonnegative(),
  /** How long the call may be held, in ms. */
  holdMs: z.number().nonnegative(),
});

export type FollowRequest = z.infer<typeof followRequestSchema>;

export interface FollowReply {
  readonly epoch: string;
  readonly endpointRevision: number;
  /** True when `endpoints` lists all that the daemon knows. */
  readonly complete: boolean;
  /** Whether the daemon has listened long enough to know all endpoints. */
  readonly settled: boolean;
  readonly endpoints: ReadonlyArray<z.infer<typeof endpointEntrySchema>>;
  /** Present when it is newer than the gateway's. */
  readonly configuration: Configuration | null;
  readonly cores: readonly CoreDaemon[];
  /** Open requests of all other gateways; earlier versions tell less. */
  readonly loads: ReadonlyArray<z.input<typeof endpointLoadSchema>>;
  readonly gatewayRevision: number;
  /** The open gateways; `null` when the gateway knows them. */
  readonly openGateways: readonly Gateway[] | null;
  /** Whether the daemon lately heard from the leader of the core. */
  readonly fresh: boolean;
}

export const coreExchangeSchema = z.object({
  from: coreDaemonSchema,
  cores: z.array(coreDaemonSchema),
  reports: z.array(endpointReportSchema),
  gateways: z.array(agedReportSchema),
  /** Asks for all endpoints and gateways that the receiver knows. */
  wantsAll: z.boolean(),
});

export type CoreExchange = z.infer<typeof coreExchangeSchema>;

export interface CoreExchangeReply {
  readonly cores: readonly CoreDaemon[];
  readonly reports: ReadonlyArray<z.infer<typeof endpointReportSchema>>;
  readonly gateways: readonly AgedReport[];
}

const emptySchema = z.object({});

/** The configuration as its leader knows it. */
export type ReadReply =
  | {readonly type: 'read'; readonly configuration: Configuration}
  | {readonly type: 'not-leader'; readonly leader: string | null};

export const coreSchemas = {
  ...replicationSchemas,
  propose: proposeRequestSchema,
  follow: followRequestSchema,
  exchangeCore: coreExchangeSchema,
  readConfiguration: emptySchema,
} as const;

/** The calls that a daemon of the core answers. */
export interface CoreService extends ReplicationService {
  propose(request: z.infer<typeof proposeRequestSchema>): Promise<ProposeReply>;
  /** Answers once something changed or the hold time is over. */
  follow(request: FollowRequest): Promise<FollowReply>;
  exchangeCore(request: CoreExchange): Promise<CoreExchangeReply>;
  /** Reads what is committed, at the leader. */
  readConfiguration(request: z.infer<typeof emptySchema>): Promise<ReadReply>;
}
