/** Reaches the daemons that carry replicas, this one included. */
import type {PeerService} from '../../protocol/peer_service.ts';
import type {Settings} from '../../protocol/settings.ts';
import type {PeerClient, PeerLinks} from '../../transport/peers/peer_links.ts';

/** Returns the service of a replica by its name. */
export type CallReplica = (name: string) => PeerClient;

/** Creates the function that reaches a replica, without a link if local. */
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

/** Finds where a replica listens for peers. */
export function findReplicaAddress(settings: Settings, name: string): string {
  const replica = settings.replicas.find(each => each.name === name);
  if (!replica) throw new Error(`Could not find the replica "${name}"`);
  return replica.address;
}

/** The replicas, this daemon first, then near ones. */
export function orderReplicas(settings: Settings): string[] {
  const rank = (peer: Settings['replicas'][number]) => {
    if (peer.name === settings.name) return 0;
    if (peer.data_centre === settings.data_centre) return 1;
    return peer.region === settings.region ? 2 : 3;
  };
  return [...settings.replicas]
    .sort((a, b) => rank(a) - rank(b))
    .map(peer => peer.name);
}
