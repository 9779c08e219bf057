/** What the members of a replicated group ask of each other. */
import * as z from 'zod';

/** A member of a replicated group: a host with one data folder of its. */
export const memberSchema = z.object({
  name: z.string(),
  /** Made with the data folder; a lost disk comes back under another. */
  incarnation: z.string(),
});

export type Member = z.infer<typeof memberSchema>;

/** Who votes in a group. */
export const membershipSchema = z.object({voters: z.array(memberSchema)});

export type Membership = z.infer<typeof membershipSchema>;

/** One entry of a replicated log. */
export const logEntrySchema = z.object({
  index: z.int().positive(),
  term: z.int().nonnegative(),
  /** `null` for an entry that opens a term or changes the membership. */
  command: z.unknown(),
  /** Present when the entry changes who votes. */
  membership: membershipSchema.optional(),
});

export type LogEntry = z.infer<typeof logEntrySchema>;

export const voteRequestSchema = z.object({
  group: z.string(),
  /** The incarnation that is asked. */
  to: z.string(),
  term: z.int(),
  candidate: z.string(),
  lastIndex: z.int(),
  lastTerm: z.int(),
  /** True asks whether a vote would be given, and changes nothing. */
  preVote: z.boolean(),
  /** True when the leader itself asked the candidate to take over. */
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
});

export type AppendRequest = z.infer<typeof appendRequestSchema>;

export interface AppendReply {
  readonly term: number;
  readonly accepted: boolean;
  /** The last index that matches, or where to try next. */
  readonly matchIndex: number;
  /** False when the member belongs to no group yet and needs a snapshot. */
  readonly formed: boolean;
}

export const installRequestSchema = z.object({
  group: z.string(),
  to: z.string(),
  term: z.int(),
  leader: z.string(),
  /** Which snapshot the piece belongs to. */
  index: z.int(),
  totalBytes: z.int(),
  offset: z.int(),
  /** The piece in Base64. */
  data: z.string(),
});

export type InstallRequest = z.infer<typeof installRequestSchema>;

export interface InstallReply {
  readonly term: number;
  /** How many bytes of the snapshot the member has. */
  readonly received: number;
  /** True once the snapshot is in force and synced. */
  readonly installed: boolean;
}

export const describeRequestSchema = z.object({group: z.string()});

/** What a replica says of itself. */
export interface ReplicaDescription {
  readonly incarnation: string;
  /** Whether it belongs to a group. */
  readonly formed: boolean;
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

/** The calls that replicas answer to each other. */
export interface ReplicationService {
  vote(request: VoteRequest): Promise<VoteReply>;
  append(request: AppendRequest): Promise<AppendReply>;
  installSnapshot(request: InstallRequest): Promise<InstallReply>;
  describeReplica(request: {group: string}): Promise<ReplicaDescription>;
  /** Makes an empty replica a member of a new group. */
  formGroup(request: FormRequest): Promise<ReplicaDescription>;
  /** Asks a member to stand at once. */
  transferLeadership(request: TransferRequest): Promise<{stands: boolean}>;
}
