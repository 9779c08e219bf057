/** Finds out whether an operator's order takes no entry in the log any more. */
import type {Configuration} from '../../protocol/core_service.ts';
import type {
  RoutingCommand,
  RoutingResult,
} from '../../protocol/routing_commands.ts';

/** The part of a configuration that tells which orders are committed. */
export type StoredConfiguration = Pick<Configuration, 'revision' | 'version'> &
  Partial<Pick<Configuration, 'rollouts'>>;

/**
 * Finds the result of an order that is committed, or overtaken by a higher
 * version, under a committed configuration; `null` if it is neither.
 */
export function findStored(
  {revision, version, rollouts = []}: StoredConfiguration,
  command: RoutingCommand,
): RoutingResult | null {
  if (command.type === 'replace') {
    const isStored = version !== null && version >= command.version;
    return isStored ? {type: 'accepted', revision} : null;
  }
  if (command.type !== 'begin_rollout') return null;
  const rollout = rollouts.find(({service}) => service === command.service);
  return rollout?.target === command.target
    ? {type: 'rollout', rollout, revision}
    : null;
}

/** Whether an order changes nothing once another one is committed. */
export function isOvertaken(
  command: RoutingCommand,
  by: RoutingCommand,
): boolean {
  return (
    command.type === 'replace' &&
    by.type === 'replace' &&
    command.version < by.version
  );
}

/**
 * Identifies an order: its repetitions have the same identity. `null` for commands
 * that are not ordered by operators, and for drains: whether one is in force cannot be
 * told without the log, since it may have been taken back in the meantime.
 */
export function createOrderKey(command: RoutingCommand): string | null {
  switch (command.type) {
    case 'replace':
      return `replace ${command.version} ${command.document}`;
    case 'begin_rollout':
      return `begin_rollout ${JSON.stringify([command.service, command.target])}`;
    default:
      return null;
  }
}
