/** Finds the leader of a group and sends it proposals. */
import type {Clock} from '../../protocol/clock.ts';
import type {
  ProposeReply,
  ProposeRequest,
} from '../../protocol/peer_service.ts';

/**
 * Delay after a pass that found no leader. A redirect to another leader is
 * followed without a delay, but not a redirect from a replica that was itself
 * named by one.
 */
const RETRY_DELAY_MS = 100;

/**
 * Timeout for one call, after which the next replica is asked unless this daemon
 * is in contact with the one that was called: that one is slow, not silent.
 */
const CALL_TIMEOUT_MS = 1_200;

/** The interval between two checks of that contact. */
const CONTACT_CHECK_MS = 100;

/** How long a replica that did not reply in time is asked after the others. */
const AVOID_SILENT_MS = 10_000;

/** Default total time for which a proposal is retried. */
const PROPOSE_DEADLINE_MS = 6_000;

export interface ProposerOptions {
  /** Lists the daemons that run replicas, nearest first. */
  readonly listReplicas: () => readonly string[];
  /** Calls one replica; a rejected promise is treated as no reply. */
  readonly call: (
    replica: string,
    request: ProposeRequest,
    timeoutMs: number,
  ) => Promise<ProposeReply>;
  /** Whether the leader that this daemon follows is a replica; by default not. */
  readonly hasContact?: (replica: string) => boolean;
  readonly clock: Clock;
  /** Total time for which a proposal is retried; 6,000 by default. */
  readonly deadlineMs?: number;
}

/**
 * Creates a function that proposes a command until it is committed.
 *
 * A proposal whose reply was lost is sent again, so commands must be
 * idempotent. When the deadline passes, the reply is `unknown` if an attempt
 * may have been appended, and `not-leader` if none was.
 *
 * An aborted signal ends the tries, since nobody waits for the outcome.
 *
 * A replica may lead several groups. If it does not reply to one proposal, the
 * others ask the remaining replicas first, so they do not wait for it as well.
 */
export function createProposer(options: ProposerOptions) {
  const leaders = new Map<string, string>();
  /** When replicas that did not reply were asked last. */
  const silentSince = new Map<string, number>();
  const isSilent = (name: string) =>
    options.clock.monotonic() - (silentSince.get(name) ?? -Infinity) <
    AVOID_SILENT_MS;
  const listReplicas = () => {
    const names = options.listReplicas();
    return [
      ...names.filter(name => !isSilent(name)),
      ...names.filter(isSilent),
    ];
  };
  return async (
    group: string,
    command: unknown,
    signal?: AbortSignal,
  ): Promise<ProposeReply> => {
    const {clock} = options;
    const deadline =
      clock.monotonic() + (options.deadlineMs ?? PROPOSE_DEADLINE_MS);
    let last: ProposeReply = {type: 'not-leader', leader: null};
    /** Presumed leaders that did not reply to this proposal. */
    const lostLeaders = new Set<string>();
    const known = leaders.get(group);
    if (known !== undefined && isSilent(known)) leaders.delete(group);
    while (clock.monotonic() < deadline && !signal?.aborted) {
      const replica = leaders.get(group);
      let canAskLeader = false;
      const order = replica === undefined ? listReplicas() : [replica];
      for (const name of order) {
        if (signal?.aborted) break;
        const askedAt = clock.monotonic();
        const reply = await askReplica(options, {
          name,
          request: {group, command},
          deadline,
        });
        if (reply === null) silentSince.set(name, askedAt);
        else silentSince.delete(name);
        if (reply?.type === 'committed') {
          leaders.set(group, name);
          return reply;
        }
        // Another proposal may have found the new leader in the meantime.
        if (leaders.get(group) === name) leaders.delete(group);
        if (reply === null) {
          last = {type: 'unknown'};
          if (replica !== undefined) lostLeaders.add(name);
          canAskLeader = leaders.has(group);
          if (canAskLeader) break;
          continue;
        }
        if (reply.type === 'unknown') last = reply;
        if (reply.type !== 'not-leader' || reply.leader === null) continue;
        if (!lostLeaders.has(reply.leader)) {
          // If this replica was itself named as leader and names another one,
          // the two may hold outdated views; waits before following.
          canAskLeader = replica === undefined;
          leaders.set(group, reply.leader);
          break;
        }
      }
      if (!canAskLeader) await clock.sleep(RETRY_DELAY_MS);
    }
    return last;
  };
}

interface Question {
  readonly name: string;
  readonly request: ProposeRequest;
  /** When the proposal ends, on the monotonic clock. */
  readonly deadline: number;
}

/** Asks one replica; returns `null` if it does not reply. */
async function askReplica(
  {call, clock, hasContact}: ProposerOptions,
  {name, request, deadline}: Question,
): Promise<ProposeReply | null> {
  const leftMs = deadline - clock.monotonic();
  const timeoutMs = hasContact
    ? Math.max(CALL_TIMEOUT_MS, leftMs)
    : CALL_TIMEOUT_MS;
  const reply = call(name, request, timeoutMs).catch(() => null);
  if (!hasContact) return reply;
  const answered = new AbortController();
  void reply.then(() => answered.abort('answered'));
  await clock.sleep(CALL_TIMEOUT_MS, answered.signal);
  while (!answered.signal.aborted) {
    if (!hasContact(name) || clock.monotonic() >= deadline) return null;
    await clock.sleep(CONTACT_CHECK_MS, answered.signal);
  }
  return reply;
}
