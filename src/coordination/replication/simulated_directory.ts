/** Which hosts of a simulated group each of them knows, for tests. */
import type {Clock} from '../../protocol/clock.ts';
import type {ReplicaHost} from './member.ts';
import type {SimulatedHost} from './simulated_host.ts';

/** How long a silent host is retained, as by a core daemon. */
const EXPIRE_AFTER_MS = 30_000;

/** When two hosts know each other, after the later one has started. */
const CONTACT_MIN_MS = 200;
const CONTACT_RANDOM_MS = 600;

export interface SimulatedDirectoryOptions {
  readonly clock: Clock;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
}

interface Contact {
  readonly place: ReplicaHost;
  lastSeenAt: number;
}

/**
 * Keeps, for each host, the hosts that contacted it since its start. A host
 * that falls silent remains listed for 30 s.
 */
export class SimulatedDirectory {
  private readonly known = new Map<string, Map<string, Contact>>();
  /** When the first of a pair contacts the second, by pair. */
  private readonly contactAt = new Map<string, number>();

  constructor(private readonly options: SimulatedDirectoryOptions) {}

  /** Lists a host itself and those that it knows. */
  listHosts(host: SimulatedHost): ReplicaHost[] {
    const oldest = this.options.clock.monotonic() - EXPIRE_AFTER_MS;
    const contacts = [...(this.known.get(host.name)?.values() ?? [])];
    const listed = contacts.filter(({lastSeenAt}) => lastSeenAt >= oldest);
    return [host.place, ...listed.map(({place}) => place)];
  }

  /** Records a start, after which a host knows none of the others. */
  recordStart(name: string, others: Iterable<string>): void {
    const {clock, random} = this.options;
    this.known.set(name, new Map());
    const drawTime = () =>
      clock.monotonic() + CONTACT_MIN_MS + random() * CONTACT_RANDOM_MS;
    for (const other of others) {
      this.contactAt.set(`${name} ${other}`, drawTime());
      this.contactAt.set(`${other} ${name}`, drawTime());
    }
  }

  /** Lets each of these hosts, which can reach each other, contact the others. */
  exchange(hosts: readonly SimulatedHost[]): void {
    const now = this.options.clock.monotonic();
    for (const {name, place} of hosts) {
      for (const other of hosts) {
        const contactAt = this.contactAt.get(`${name} ${other.name}`);
        if (name === other.name || contactAt === undefined) continue;
        if (now < contactAt) continue;
        this.known.get(other.name)?.set(name, {place, lastSeenAt: now});
      }
    }
  }
}
