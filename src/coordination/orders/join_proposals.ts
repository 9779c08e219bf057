/**
 * Joins the proposals of identical orders at the leader.
 *
 * Operators repeat an order that is not acknowledged in time, at any daemon, and
 * several may send the same one. Each order takes one entry in the log: a
 * proposal waits for the one under way that is identical or overtakes it, and
 * one that is stored already gets its result at once.
 */
import type {ProposeReply} from '../../protocol/peer_service.ts';
import type {RoutingCommand} from '../../protocol/routing_commands.ts';
import {
  createOrderKey,
  findStored,
  isOvertaken,
  type StoredConfiguration,
} from './find_stored.ts';

export interface JoinProposalsOptions {
  /** Appends a command; resolves once it is applied. */
  readonly propose: (command: RoutingCommand) => Promise<ProposeReply>;
  /** Whether this daemon leads and has applied all that is committed. */
  readonly isLeader: () => boolean;
  readonly getConfiguration: () => StoredConfiguration;
}

interface OpenProposal {
  readonly command: RoutingCommand;
  readonly reply: Promise<ProposeReply>;
}

/** Creates the function that proposes commands at their leader. */
export function createJoinedPropose({
  propose,
  isLeader,
  getConfiguration,
}: JoinProposalsOptions): (command: RoutingCommand) => Promise<ProposeReply> {
  const open = new Map<string, OpenProposal>();
  return async command => {
    const key = createOrderKey(command);
    if (key === null || !isLeader()) return propose(command);
    const result = findStored(getConfiguration(), command);
    if (result) return {type: 'committed', result};
    const same = open.get(key);
    if (same) return same.reply;
    const overtaking = [...open.values()].find(other =>
      isOvertaken(command, other.command),
    );
    if (overtaking) {
      const reply = await overtaking.reply;
      if (reply.type === 'committed') return reply;
    }
    const reply = propose(command);
    open.set(key, {command, reply});
    try {
      return await reply;
    } finally {
      if (open.get(key)?.reply === reply) open.delete(key);
    }
  };
}
