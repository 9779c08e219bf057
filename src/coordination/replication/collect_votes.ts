/** Requests the votes of all voters. */
import type {Member, VoteRequest} from '../../protocol/replication.ts';
import {countMajority} from './member.ts';
import type {ReplicaPeer} from './peer_replicator.ts';

/** Timeout for one vote request. */
const VOTE_TIMEOUT_MS = 400;

export interface CollectVotesOptions {
  readonly voters: readonly Member[];
  /** The candidate, which votes for itself. */
  readonly self: Member;
  readonly getPeer: (name: string) => ReplicaPeer;
  readonly request: Omit<VoteRequest, 'to'>;
  /** Called when a voter reports a later term. */
  readonly onLaterTerm: (term: number) => void;
}

/**
 * Resolves to true as soon as a majority has granted its vote, and to false
 * once all voters have replied or failed without one.
 */
export function collectVotes(options: CollectVotesOptions): Promise<boolean> {
  const {voters, self, request} = options;
  const majority = countMajority(voters);
  const others = voters.filter(
    ({incarnation}) => incarnation !== self.incarnation,
  );
  let granted = voters.length - others.length;
  let pending = others.length;
  if (granted >= majority) return Promise.resolve(true);
  return new Promise(resolve => {
    const recordVote = (isGranted: boolean) => {
      pending--;
      if (isGranted) granted++;
      if (granted >= majority) resolve(true);
      else if (pending === 0) resolve(false);
    };
    if (pending === 0) resolve(false);
    for (const voter of others) {
      askVoter(options, voter)
        .then(reply => {
          if (!reply.granted && reply.term >= request.term) {
            options.onLaterTerm(reply.term);
          }
          recordVote(reply.granted);
        })
        .catch(() => recordVote(false));
    }
  });
}

async function askVoter(options: CollectVotesOptions, voter: Member) {
  return options
    .getPeer(voter.name)
    .vote({...options.request, to: voter.incarnation}, VOTE_TIMEOUT_MS);
}
