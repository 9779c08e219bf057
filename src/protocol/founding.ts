/**
 * The call by which the founders of a group agree on its first voters.
 *
 * A ballot is opened without a proposal and then carries one. A founder that has
 * granted a ballot grants no earlier one.
 */
import * as z from 'zod';
import {membershipSchema} from './replication.ts';

/** Ballots are ordered by their round, then by the name of the proposer. */
export const ballotSchema = z.object({
  round: z.int().positive(),
  proposer: z.string(),
});

export type Ballot = z.infer<typeof ballotSchema>;

/** A founder's vote for the first voters. */
export const foundingVoteSchema = z.object({
  ballot: ballotSchema,
  membership: membershipSchema,
});

export type FoundingVote = z.infer<typeof foundingVoteSchema>;

export const foundingRequestSchema = z.object({
  group: z.string(),
  /** The founders as the sender knows them. */
  founders: z.array(z.string()).readonly(),
  ballot: ballotSchema,
  /** The first voters that are proposed; absent while the ballot is opened. */
  membership: membershipSchema.optional(),
});

export type FoundingRequest = z.infer<typeof foundingRequestSchema>;

export interface FoundingReply {
  /** Whether the ballot is granted, durably. */
  readonly granted: boolean;
  /** The latest ballot that was granted. */
  readonly promised: Ballot | null;
  /** The latest vote for a proposal. */
  readonly vote: FoundingVote | null;
}

export const foundingSchemas = {
  proposeFounding: foundingRequestSchema,
} as const;

/** The call that founders serve to each other. */
export interface FoundingService {
  /** Asks for a vote on the first voters, or on the ballot that precedes it. */
  proposeFounding(request: FoundingRequest): Promise<FoundingReply>;
}
