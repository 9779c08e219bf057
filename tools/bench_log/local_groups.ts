/** Runs the replicas of one or more groups in this process, on real files. */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {systemClock} from '../../src/protocol/clock.ts';
import {silentLogger} from '../../src/protocol/logger.ts';
import {openFileLog} from '../../src/state/log/file_log.ts';
import {Replica} from '../../src/coordination/replication/replica.ts';
import type {ReplicaPeer} from '../../src/coordination/replication/peer_replicator.ts';

export type LocalReplica = Replica<string, number>;

/** The names of the hosts of each group. */
export const HOSTS = ['a', 'b', 'c'];

/** Returns the connection to a group's replica on a host. */
export type PeerLookup = (group: string, host: string) => ReplicaPeer;

/** Groups of three replicas each. */
export class LocalGroups implements AsyncDisposable {
  readonly replicas = new Map<string, LocalReplica>();
  private readonly storages: AsyncDisposable[] = [];
  /** Isolated hosts, which neither send requests nor answer them. */
  readonly isolatedHosts = new Set<string>();

  private constructor(private readonly folder: string) {}

  /** Opens and starts `count` groups. */
  static async start(
    count: number,
    connect?: (groups: LocalGroups) => PeerLookup,
  ): Promise<LocalGroups> {
    const folder = await mkdtemp(join(tmpdir(), 'bench-log-'));
    const groups = new LocalGroups(folder);
    const getPeer = connect?.(groups) ?? groups.connectDirectly();
    for (let number = 0; number < count; number++) {
      for (const host of HOSTS) await groups.open(`g${number}`, host, getPeer);
    }
    for (const replica of groups.replicas.values()) replica.start();
    return groups;
  }

  get(group: string, host: string): LocalReplica {
    const replica = this.replicas.get(`${group}/${host}`);
    if (!replica) throw new Error(`Could not find ${group} on ${host}`);
    return replica;
  }

  /** Waits until a reachable replica leads the group, and returns it. */
  async findLeader(group: string): Promise<LocalReplica> {
    for (;;) {
      const replicas = HOSTS.map(host => this.get(group, host));
      const leader = replicas.find(
        (replica, n) =>
          !this.isolatedHosts.has(HOSTS[n] ?? '') && replica.isLeader(),
      );
      if (leader) return leader;
      await sleep(20);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(
      [...this.replicas.values()].map(each => each[Symbol.asyncDispose]()),
    );
    await Promise.all(this.storages.map(each => each[Symbol.asyncDispose]()));
    await rm(this.folder, {recursive: true, force: true});
  }

  private async open(group: string, host: string, connect: PeerLookup) {
    const folder = join(this.folder, host, group);
    const storage = await openFileLog({folder});
    if (!storage.ok) throw storage.error;
    this.storages.push(storage.value);
    const hosts = HOSTS.map(each => ({
      name: each,
      region: 'r',
      dataCentre: each,
    }));
    const replica = await Replica.open<string, number>({
      group,
      name: host,
      bootstrapHosts: hosts,
      listHosts: () => hosts,
      voterCount: HOSTS.length,
      storage: storage.value,
      stateMachine: createCounter(),
      getPeer: name => {
        const peer = connect(group, name);
        const isIsolated = () => this.isolatedHosts.has(host);
        return {
          ...peer,
          append: async (request, timeoutMs) => {
            if (isIsolated()) throw new Error('Could not send: isolated');
            return peer.append(request, timeoutMs);
          },
        };
      },
      clock: systemClock,
      random: Math.random,
      logger: silentLogger,
    });
    this.replicas.set(`${group}/${host}`, replica);
  }

  private connectDirectly(): PeerLookup {
    return (group, host) => {
      const find = () => {
        if (this.isolatedHosts.has(host))
          throw new Error('Could not reach the host');
        return this.get(group, host);
      };
      return {
        vote: async request => find().handleVote(request),
        append: async request => find().handleAppend(request),
        installSnapshot: async request => find().handleInstall(request),
        describeReplica: async () => find().describe(),
        formGroup: async request => find().handleForm(request),
        transferLeadership: async request => find().handleTransfer(request),
      };
    };
  }
}

/** Creates a state machine whose commands cost almost nothing to apply. */
export function createCounter() {
  let count = 0;
  return {
    apply: () => ++count,
    createSnapshot: () => count,
    restoreSnapshot: (snapshot: unknown) => {
      count = snapshot as number;
    },
  };
}
