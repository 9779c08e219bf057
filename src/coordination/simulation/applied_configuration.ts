/** Reads the configuration of a simulated core daemon. */
import type {Configuration} from '../../protocol/core_service.ts';
import type {SimulatedGroup} from '../replication/simulated_group.ts';

/** Reads the highest of the versions that a replica has applied. */
export function readAppliedConfiguration(
  group: SimulatedGroup,
  name: string,
): Configuration {
  const {commands} = group.getHost(name).recorder;
  const versions = commands.map(Number);
  const version = Math.max(0, ...versions);
  return {
    revision: versions.indexOf(version) + 1,
    version: version || null,
    document: version === 0 ? null : String(version),
    rollouts: [],
  };
}
