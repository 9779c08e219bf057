/** Describes the replicated groups of a daemon to operators. */
import type {Membership} from '../../protocol/replication.ts';
import {formatLedgerGroup} from '../../coordination/requests/ledger_client.ts';
import {CONTROL_GROUP, type Replicas} from './replicas.ts';

/** One group as a member of it sees it. */
export interface GroupDescription {
  readonly group: string;
  /** Identifies this daemon's disk among the members. */
  readonly incarnation: string;
  readonly leader: string | null;
  readonly applied: number;
  /** Who votes; `null` before the group is formed. */
  readonly membership: Membership | null;
  /** Whether the membership is known to be committed. */
  readonly settled: boolean;
}

/** Describes every group that this daemon has a replica of. */
export function describeGroups(replicas: Replicas): GroupDescription[] {
  const ledgers = replicas.ledgers.map((_, shard) => formatLedgerGroup(shard));
  return [CONTROL_GROUP, ...ledgers].flatMap(group => {
    const replica = replicas.get(group);
    if (!replica) return [];
    return [
      {
        group,
        incarnation: replica.describe().incarnation,
        leader: replica.leader,
        applied: replica.applied,
        membership: replica.membership,
        settled: replica.hasCommittedMembership,
      },
    ];
  });
}
