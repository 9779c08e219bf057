/** The calls between the members of a replicated group. */
import * as z from 'zod';

/** A member of a replicated group: a host with a particular data folder. */
export const memberSchema = z.object({
  name: z.string(),
  /** Created with the data folder, so a replaced disk has a different one. */
  incarnation: z.string(),
});

export type Member = z.infer<typeof memberSchema>;

/** The voters of a group. */
export const membershipSchema = z.object({voters: z.array(memberSchema)});

export type Membership = z.infer<typeof membershipSchema>;

/** A voter that does not answer the leader. */
export const silentMemberSchema = memberSchema.extend({
  /** How long ago it last answered, in ms. */
  silentMs: z.number().nonnegative(),
});

export type SilentMember = z.infer<typeof silentMemberSchema>;

/** One entry of a replicated log. */
export const logEntrySchema = z.object({
  index: z.int().positive(),
  term: z.int().nonnegative(),
  /** `null` for an entry that begins a term or changes the membership. */
  command: z.unknown(),
  /** Present if the entry changes the voters. */
  membership: membershipSchema.optional(),
});

export type LogEntry = z.infer<typeof logEntrySchema>;

export const voteRequestSchema = z.object({
  group: z.string(),
  /** The incarnation that the request is addressed to. */
  to: z.string(),
  term: z.int(),
  candidate: z.string(),
  lastIndex: z.int(),
  lastTerm: z.int(),
  /** True only asks whether a vote would be granted; changes no state. */
  preVote: z.boolean(),
  /** True if the leader transfers its leadership to the candidate. */
  transfer: z.boolean(),
});

export type VoteRequest = z.infer<typeof voteRequestSchema>;

export interface VoteReply {
  readonly term: number;
  readonly granted: boolean;
}

export const appendRequestSchema = z.object({
  group: z.string(),
  to: z.string(),
  term: z.int(),
  leader: z.string(),
  previousIndex: z.int(),
  previousTerm: z.int(),
  entries: z.array(logEntrySchema),
  commitIndex: z.int(),
  /** The voters that do not answer; absent from earlier versions. */
  silent: z.array(silentMemberSchema).optional(),
  /**
   * Members whose start explains a loss that was repaired; absent from earlier
   * versions.
   */
  knownSuccessors: z.array(memberSchema).optional(),
});

export type AppendRequest = z.infer<typeof appendRequestSchema>;

export interface AppendReply {
  readonly term: number;
  readonly accepted: boolean;
  /** The last matching index, or the index to try next. */
  readonly matchIndex: number;
  /** False if the member belongs to no group yet and needs a snapshot. */
  readonly formed: boolean;
}

export const installRequestSchema = z.object({
  group: z.string(),
  to: z.string(),
  term: z.int(),
  leader: z.string(),
  /** The last entry of the snapshot that the chunk belongs to. */
  index: z.int(),
  totalBytes: z.int(),
  offset: z.int(),
  /** The chunk in Base64. */
  data: z.string(),
});

export type InstallRequest = z.infer<typeof installRequestSchema>;

export interface InstallReply {
  readonly term: number;
  /** The number of snapshot bytes that the member has. */
  readonly received: number;
  /** True once the snapshot is installed and synced to disk. */
  readonly installed: boolean;
}

export const describeRequestSchema = z.object({group: z.string()});

export interface ReplicaDescription {
  readonly incarnation: string;
  /** Whether the replica belongs to a group. */
  readonly formed: boolean;
  /** Index of the last entry on its disk; absent from earlier versions. */
  readonly lastIndex?: number;
  /**
   * How long ago it started with a new disk, in ms. Absent if it had started
   * with that disk before.
   */
  readonly emptySinceMs?: number;
}

export const formRequestSchema = z.object({
  group: z.string(),
  to: z.string(),
  membership: membershipSchema,
});

export type FormRequest = z.infer<typeof formRequestSchema>;

export const transferRequestSchema = z.object({
  group: z.string(),
  to: z.string(),
  term: z.int(),
});

export type TransferRequest = z.infer<typeof transferRequestSchema>;

export const replicationSchemas = {
  vote: voteRequestSchema,
  append: appendRequestSchema,
  installSnapshot: installRequestSchema,
  describeReplica: describeRequestSchema,
  formGroup: formRequestSchema,
  transferLeadership: transferRequestSchema,
} as const;

/** The calls that replicas serve to each other. */
export interface ReplicationService {
  vote(request: VoteRequest): Promise<VoteReply>;
  append(request: AppendRequest): Promise<AppendReply>;
  installSnapshot(request: InstallRequest): Promise<InstallReply>;
  describeReplica(request: {group: string}): Promise<ReplicaDescription>;
  /** Makes an empty replica a founding member of a new group. */
  formGroup(request: FormRequest): Promise<ReplicaDescription>;
  /** Asks a member to start an election immediately. */
  transferLeadership(request: TransferRequest): Promise<{stands: boolean}>;
}
