/** Resolves replica names to local or remote peer services. */
import type {PeerService} from '../../protocol/peer_service.ts';
import type {Settings} from '../../protocol/settings.ts';
import type {PeerClient, PeerLinks} from '../../transport/peers/peer_links.ts';

/** Returns the peer service of the replica with this name. */
export type CallReplica = (name: string) => PeerClient;

/** Creates a resolver that uses no connection for the local replica. */
export function createReplicaCaller(
  settings: Settings,
  links: PeerLinks,
  service: PeerService,
): CallReplica {
  return name =>
    name === settings.name
      ? service
      : links.get(findReplicaAddress(settings, name));
}

/** Returns the peer address of a replica; throws if the name is unknown. */
export function findReplicaAddress(settings: Settings, name: string): string {
  const replica = settings.replicas.find(each => each.name === name);
  if (!replica) throw new Error(`Could not find the replica "${name}"`);
  return replica.address;
}

/** Lists replica names: this daemon, its data centre, its region, others. */
export function listReplicasByDistance(settings: Settings): string[] {
  const rank = (peer: Settings['replicas'][number]) => {
    if (peer.name === settings.name) return 0;
    if (peer.data_centre === settings.data_centre) return 1;
    return peer.region === settings.region ? 2 : 3;
  };
  return [...settings.replicas]
    .sort((a, b) => rank(a) - rank(b))
    .map(peer => peer.name);
}
