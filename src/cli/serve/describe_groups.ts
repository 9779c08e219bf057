/** Describes the replicated groups of a daemon for operators. */
import type {Membership} from '../../protocol/replication.ts';
import {formatLedgerGroup} from '../../coordination/requests/ledger_client.ts';
import {CONTROL_GROUP, type Replicas} from './replicas.ts';

/** The state of one group as reported by this daemon's replica. */
export interface GroupDescription {
  readonly group: string;
  /** Identifies this daemon's disk; a replaced disk gets a new one. */
  readonly incarnation: string;
  readonly leader: string | null;
  readonly applied: number;
  /** The voters and learners; `null` before the group is formed. */
  readonly membership: Membership | null;
  /** Whether the membership is known to be committed. */
  readonly settled: boolean;
}

/** Describes every group of which this daemon has a replica. */
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
