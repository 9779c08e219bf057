/** Asks hosts in the background which replica they run. */
import type {Clock} from '../../protocol/clock.ts';
import type {ReplicaDescription} from '../../protocol/replication.ts';
import type {ReplicaHost} from './member.ts';
import type {ReplicaPeer} from './peer_replicator.ts';

/** Timeout for a host's description of its replica. */
const TIMEOUT_MS = 500;

/** The age at which an answer is requested again. */
const REFRESH_AFTER_MS = 1_000;

/** The age at which an answer is no longer used. */
const EXPIRE_AFTER_MS = 2_000;

export interface HostProbesOptions {
  readonly group: string;
  readonly clock: Clock;
  readonly getPeer: (name: string) => ReplicaPeer;
}

interface Answer {
  readonly description: ReplicaDescription;
  readonly receivedAt: number;
}

/** The last answers. A host that does not answer delays no other one. */
export class HostProbes {
  private readonly answers = new Map<string, Answer>();
  private readonly asking = new Set<string>();

  constructor(private readonly options: HostProbesOptions) {}

  /** Asks the hosts without a recent answer, and drops all other hosts. */
  refresh(hosts: readonly ReplicaHost[]): void {
    const names = new Set(hosts.map(({name}) => name));
    for (const name of this.answers.keys()) {
      if (!names.has(name)) this.answers.delete(name);
    }
    const now = this.options.clock.monotonic();
    for (const name of names) {
      const answer = this.answers.get(name);
      const isRecent = answer && now - answer.receivedAt < REFRESH_AFTER_MS;
      if (!isRecent && !this.asking.has(name)) void this.ask(name);
    }
  }

  /** Returns the descriptions that are in use, by host, with current ages. */
  list(): Map<string, ReplicaDescription> {
    const now = this.options.clock.monotonic();
    const current = new Map<string, ReplicaDescription>();
    for (const [name, {description, receivedAt}] of this.answers) {
      const ageMs = now - receivedAt;
      if (ageMs > EXPIRE_AFTER_MS) continue;
      const {emptySinceMs} = description;
      current.set(
        name,
        emptySinceMs === undefined
          ? description
          : {...description, emptySinceMs: emptySinceMs + ageMs},
      );
    }
    return current;
  }

  private async ask(name: string): Promise<void> {
    const {group, clock, getPeer} = this.options;
    this.asking.add(name);
    try {
      const description = await getPeer(name).describeReplica(
        {group},
        TIMEOUT_MS,
      );
      this.answers.set(name, {description, receivedAt: clock.monotonic()});
    } catch {
      // The leader logs voters that do not answer; a spare may come and go.
      this.answers.delete(name);
    } finally {
      this.asking.delete(name);
    }
  }
}
