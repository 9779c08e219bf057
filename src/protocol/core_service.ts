/**
 * The calls between the daemons of a routing deployment.
 *
 * Daemons with a disk form the core: they replicate the configuration, receive
 * the endpoints' heartbeats and exchange their views. Each gateway follows one
 * of them by long polling.
 */
import * as z from 'zod';
import {addressSchema} from './address.ts';
import {ageSchema, countSchema, nameSchema} from './bounds.ts';
import {
  confirmReplySchema,
  confirmRequestSchema,
  type ConfirmReply,
  type ConfirmRequest,
} from './confirmation.ts';
import {
  endpointEntrySchema,
  endpointIdSchema,
  endpointReportSchema,
  startTimeSchema,
} from './endpoint_report.ts';
import {gatewaySchema, type Gateway} from './gateway_entry.ts';
import {createEntryList} from './parse_message.ts';
import {proposeRequestSchema, type ProposeReply} from './peer_service.ts';
import {
  suspectSchema,
  trialResultSchema,
  trialRequestSchema,
  type SuspectRecord,
  type TrialResult,
  type TrialReply,
  type TrialRequest,
} from './suspect.ts';
import {foundingSchemas, type FoundingService} from './founding.ts';
import {replicationSchemas, type ReplicationService} from './replication.ts';
import {routingCommandSchema} from './routing_commands.ts';

/** A daemon of the core. */
export const coreDaemonSchema = z.object({
  /** Its address for other daemons, and its name as a replica. */
  address: addressSchema,
  region: nameSchema,
  dataCentre: nameSchema,
  /** Its address for endpoints and operators; empty if it has none. */
  controlAddress: z.union([addressSchema, z.literal('')]),
  /** How many gateways follow it; absent from daemons of earlier versions. */
  followers: countSchema.optional(),
  /** Whether it is in contact with the leader; absent from earlier versions. */
  fresh: z.boolean().optional(),
});

export type CoreDaemon = z.infer<typeof coreDaemonSchema>;

/** One gateway's counts for a version on a route during a roll-out. */
export const versionEvidenceSchema = z.object({
  service: z.string(),
  version: z.string(),
  route: z.string(),
  answers: countSchema,
  failures: countSchema,
  /** Answers that were slow compared with the model's usual time. */
  slow: countSchema,
});

export type VersionEvidence = z.infer<typeof versionEvidenceSchema>;

/**
 * One gateway's answers of a version during a roll-out, by how long they took to
 * begin in relation to the work that they needed.
 */
export const versionPaceSchema = z.object({
  service: z.string(),
  version: z.string(),
  /** The model, or the route of a service without models. */
  kind: z.string(),
  /** Whether sessions moved to the target when they were counted. */
  movesSessions: z.boolean(),
  /** The answers of each class of pace, the fastest class first. */
  counts: z.array(countSchema),
});

export type VersionPace = z.infer<typeof versionPaceSchema>;

/** The longest prefill time of all open requests at an endpoint: a day. */
const MAX_READING_MS = 24 * 60 * 60_000;

/** The open requests of one gateway at an endpoint. */
export const endpointLoadSchema = z.object({
  id: endpointIdSchema,
  open: countSchema,
  /** Their remaining prefill time, in ms; absent from earlier versions. */
  readingMs: z.number().min(0).max(MAX_READING_MS).default(0),
});

export type EndpointLoad = z.infer<typeof endpointLoadSchema>;

/** An endpoint instance that told a gateway that it is shutting down. */
export const leavingEndpointSchema = z.object({
  id: endpointIdSchema,
  startedAtMs: startTimeSchema,
});

export type LeavingEndpoint = z.infer<typeof leavingEndpointSchema>;

/** A limit that an endpoint named, or its end. */
export const endpointLimitSchema = z.object({
  id: endpointIdSchema,
  startedAtMs: startTimeSchema,
  /**
   * The requests per second that it accepts from all gateways together; `null`
   * once it names no limit any more.
   */
  perSecond: z.number().nonnegative().nullable(),
  /** The time since that was observed, in ms. */
  ageMs: ageSchema,
});

export type EndpointLimit = z.infer<typeof endpointLimitSchema>;

/** A gateway's report on itself and its endpoints. */
export const gatewayReportSchema = z.object({
  gateway: gatewaySchema,
  loads: createEntryList(endpointLoadSchema),
  evidence: createEntryList(versionEvidenceSchema),
  /** Absent from gateways of earlier versions. */
  paces: createEntryList(versionPaceSchema).default([]),
  /** Absent from gateways of earlier versions. */
  leaving: createEntryList(leavingEndpointSchema).default([]),
  /** What it observed itself; absent from gateways of earlier versions. */
  limits: createEntryList(endpointLimitSchema).default([]),
  /** What it observed itself; absent from gateways of earlier versions. */
  suspects: createEntryList(suspectSchema).default([]),
});

export type GatewayReport = z.infer<typeof gatewayReportSchema>;

/** The last report of a gateway, relayed between daemons of the core. */
export const agedReportSchema = z.object({
  report: gatewayReportSchema,
  /** The time since the gateway sent it, in ms. */
  ageMs: ageSchema.min(0),
});

export type AgedReport = z.infer<typeof agedReportSchema>;

/** The state of the roll-out of one service. */
export const serviceRolloutSchema = z.object({
  service: z.string(),
  target: z.string(),
  state: z.enum(['running', 'complete', 'reverted']),
  /** The version in use before; `null` if it is unknown. */
  stable: z.string().nullable(),
  /** Versions that were rolled back; they receive no requests. */
  rejected: z.array(z.string()),
  /** The target's share of requests while the roll-out runs. */
  share: z.number().min(0).max(1),
  /** Whether existing sessions, too, may move to the target. */
  movesSessions: z.boolean().default(false),
  beganAtMs: z.number(),
  durationMs: z.number(),
});

export type ServiceRollout = z.infer<typeof serviceRolloutSchema>;

/** The configuration in force. */
export const configurationSchema = z.object({
  /** The log index of the last change. */
  revision: z.int().nonnegative(),
  /** The version of the document; `null` if there is none yet. */
  version: z.number().nullable(),
  /** The document as the operator submitted it. */
  document: z.string().nullable(),
  rollouts: createEntryList(serviceRolloutSchema),
  /**
   * The data centres whose endpoints get no requests; absent from earlier versions
   * and while there are none.
   */
  drained: createEntryList(nameSchema).optional(),
});

export type Configuration = z.infer<typeof configurationSchema>;

/**
 * What a gateway reports to the core daemon that it follows: lists are absent while
 * the last one that this run of the daemon got is recent, and of its own observations
 * those that the daemon has not acknowledged.
 */
export const followReportSchema = gatewayReportSchema.extend({
  loads: createEntryList(endpointLoadSchema).optional(),
  evidence: createEntryList(versionEvidenceSchema).optional(),
  paces: createEntryList(versionPaceSchema).optional(),
});

export type FollowReport = z.infer<typeof followReportSchema>;

export const followRequestSchema = z.object({
  report: followReportSchema,
  /** Identifies the run of the gateway; absent from earlier versions. */
  run: nameSchema.optional(),
  /** Identifies the core daemon process that assigned the revisions below. */
  epoch: z.string(),
  /** The revision of the endpoint list that the gateway has. */
  endpointRevision: z.int().nonnegative(),
  configurationRevision: z.int().nonnegative(),
  /** The revision of the open gateways that the gateway has. */
  gatewayRevision: z.int().nonnegative(),
  /**
   * The revision of the endpoints' limits that the gateway has; absent from
   * gateways of earlier versions, which do not apply them.
   */
  limitRevision: z.int().nonnegative().optional(),
  /** The same for suspected parts of prompts. */
  suspectRevision: z.int().nonnegative().optional(),
  /**
   * The revision of the loads and core daemons that the gateway has, and the
   * version of its document; absent from gateways of earlier versions, which get
   * them with each reply.
   */
  loadRevision: z.int().nonnegative().optional(),
  configurationVersion: z.number().optional(),
  /** How long the reply may be delayed while nothing changes, in ms. */
  holdMs: z.number().nonnegative(),
  /** Whether the gateway follows another daemon from now on. */
  leaves: z.boolean().optional(),
});

export type FollowRequest = z.infer<typeof followRequestSchema>;

export interface FollowReply {
  readonly epoch: string;
  readonly endpointRevision: number;
  /** Whether `endpoints` is the whole list and not only the changes. */
  readonly complete: boolean;
  /** Whether the daemon has run long enough to know all live endpoints. */
  readonly settled: boolean;
  readonly endpoints: ReadonlyArray<z.infer<typeof endpointEntrySchema>>;
  /**
   * `null` unless it is newer than the gateway's; without its document if the
   * gateway has that version.
   */
  readonly configuration: Configuration | null;
  /** `null` if the gateway's lists of daemons and loads are recent. */
  readonly cores: readonly CoreDaemon[] | null;
  /**
   * The addresses of those that have been silent for seconds; absent from
   * earlier versions.
   */
  readonly silentCores?: readonly string[];
  /** Open requests of all other gateways; earlier versions omit fields. */
  readonly loads: ReadonlyArray<z.input<typeof endpointLoadSchema>> | null;
  /** Absent from earlier versions. */
  readonly loadRevision?: number | undefined;
  readonly gatewayRevision: number;
  /** The open gateways; `null` if the gateway's list is current. */
  readonly openGateways: readonly Gateway[] | null;
  /** Absent from earlier versions, as are the fields below. */
  readonly limitRevision?: number;
  /** The limits that changed since the gateway's revision. */
  readonly limits?: readonly EndpointLimit[];
  readonly suspectRevision?: number;
  /** The suspected parts that changed since the gateway's revision. */
  readonly suspects?: readonly SuspectRecord[];
  /** Whether the daemon is in contact with the core's leader, or leads. */
  readonly fresh: boolean;
  /**
   * Whether the daemon keeps lists that the next report leaves out; absent from
   * earlier versions.
   */
  readonly keepsReports?: boolean | undefined;
}

/** The time since the last report of an endpoint. */
export const reportAgeSchema = z.object({
  id: endpointIdSchema,
  ageMs: ageSchema.min(0),
});

export type ReportAge = z.infer<typeof reportAgeSchema>;

export const coreExchangeSchema = z.object({
  from: coreDaemonSchema,
  cores: createEntryList(coreDaemonSchema),
  reports: createEntryList(endpointReportSchema),
  /** The ages of the reports; absent from earlier versions. */
  reportAges: createEntryList(reportAgeSchema).optional(),
  gateways: createEntryList(agedReportSchema),
  /** Suspects that gateways told the sender of; absent from earlier versions. */
  suspects: createEntryList(suspectSchema).optional(),
  /** Requests all endpoints and gateways that the receiver knows. */
  wantsAll: z.boolean(),
});

export type CoreExchange = z.infer<typeof coreExchangeSchema>;

export interface CoreExchangeReply {
  readonly cores: readonly CoreDaemon[];
  readonly reports: ReadonlyArray<z.infer<typeof endpointReportSchema>>;
  /** As in the exchange. */
  readonly reportAges?: readonly ReportAge[] | undefined;
  readonly gateways: readonly AgedReport[];
  /** All suspected parts if asked for; absent from earlier versions. */
  readonly suspects?: readonly SuspectRecord[] | undefined;
  /**
   * Whether the daemon reads the suspects of an exchange, and not only those of
   * gateways' reports; absent from earlier versions.
   */
  readonly readsSuspects?: boolean | undefined;
}

const emptySchema = z.object({});

/** The committed configuration, or a redirect to the leader. */
export type ReadReply =
  | {readonly type: 'read'; readonly configuration: Configuration}
  | {readonly type: 'not-leader'; readonly leader: string | null};

export const coreSchemas = {
  ...replicationSchemas,
  ...foundingSchemas,
  propose: proposeRequestSchema.extend({command: routingCommandSchema}),
  follow: followRequestSchema,
  exchangeCore: coreExchangeSchema,
  readConfiguration: emptySchema,
  requestTrial: trialRequestSchema,
  finishTrial: trialResultSchema,
  confirmChange: confirmRequestSchema,
} as const;

const optionalRevisionSchema = z.int().nonnegative().optional();

/** Has a schema for each field, since a schema drops fields unknown to it. */
type ReplyShape<T> = Record<keyof T, z.ZodType>;

/** The replies that list entries; those of earlier versions omit fields. */
export const coreReplySchemas = {
  follow: z.object({
    epoch: z.string(),
    endpointRevision: z.int().nonnegative(),
    complete: z.boolean(),
    settled: z.boolean(),
    endpoints: createEntryList(endpointEntrySchema),
    configuration: configurationSchema.nullable(),
    cores: createEntryList(coreDaemonSchema).nullable(),
    silentCores: createEntryList(addressSchema).optional(),
    loads: createEntryList(endpointLoadSchema).nullable(),
    loadRevision: optionalRevisionSchema,
    gatewayRevision: z.int().nonnegative(),
    openGateways: createEntryList(gatewaySchema).nullable(),
    limitRevision: optionalRevisionSchema,
    limits: createEntryList(endpointLimitSchema).optional(),
    suspectRevision: optionalRevisionSchema,
    suspects: createEntryList(suspectSchema).optional(),
    fresh: z.boolean(),
    keepsReports: z.boolean().optional(),
  } satisfies ReplyShape<FollowReply>) satisfies z.ZodType<FollowReply>,
  exchangeCore: z.object({
    cores: createEntryList(coreDaemonSchema),
    reports: createEntryList(endpointReportSchema),
    reportAges: createEntryList(reportAgeSchema).optional(),
    gateways: createEntryList(agedReportSchema),
    suspects: createEntryList(suspectSchema).optional(),
    readsSuspects: z.boolean().optional(),
  } satisfies ReplyShape<CoreExchangeReply>) satisfies z.ZodType<CoreExchangeReply>,
  requestTrial: z.object({
    isGranted: z.boolean(),
    trial: z.int().optional(),
    suspects: createEntryList(suspectSchema),
  } satisfies ReplyShape<TrialReply>) satisfies z.ZodType<TrialReply>,
  confirmChange: confirmReplySchema,
} as const;

/** The calls that a daemon of the core serves. */
export interface CoreService extends ReplicationService, FoundingService {
  propose(request: z.infer<typeof proposeRequestSchema>): Promise<ProposeReply>;
  /** Replies once something changed or `holdMs` has passed. */
  follow(request: FollowRequest): Promise<FollowReply>;
  exchangeCore(request: CoreExchange): Promise<CoreExchangeReply>;
  /** Reads the committed configuration at the leader. */
  readConfiguration(request: z.infer<typeof emptySchema>): Promise<ReadReply>;
  /** Permits one request with suspected parts, unless another one runs. */
  requestTrial(request: TrialRequest): Promise<TrialReply>;
  /** Ends the request of a trial and merges what it showed. */
  finishTrial(request: TrialResult): Promise<object>;
  /** Replies once all gateways that follow the daemon have a change, or in time. */
  confirmChange(request: ConfirmRequest): Promise<ConfirmReply>;
}
