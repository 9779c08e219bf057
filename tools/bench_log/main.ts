/** Benchmarks the replicated log: `npm run bench:log [-- SECTION]`. */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import WebSocket from 'ws';
import {systemClock} from '../../src/protocol/clock.ts';
import {
  PEER_CALLS,
  peerSchemas,
  type PeerService,
} from '../../src/protocol/peer_service.ts';
import {openFileLog} from '../../src/state/log/file_log.ts';
import {PeerLinks} from '../../src/transport/peers/peer_links.ts';
import {startPeerServer} from '../../src/transport/peers/peer_server.ts';
import {HOSTS, LocalGroups} from './local_groups.ts';

const MEASURE_MS = 4_000;

/** A command of the size that ledger commands have. */
const COMMAND = 'x'.repeat(400);

/** Measures commit rate and latency at `inFlight` proposals per group. */
async function measureAppends(groupCount: number, inFlight: number) {
  await using groups = await LocalGroups.start(groupCount);
  const histogram = build();
  const deadline = performance.now() + MEASURE_MS + 2_500;
  const leaders = await Promise.all(
    Array.from({length: groupCount}, (_, n) => groups.findLeader(`g${n}`)),
  );
  let committed = 0;
  const startedAt = performance.now();
  const cpu = process.cpuUsage();
  const propose = async (leader: (typeof leaders)[number]) => {
    while (performance.now() - startedAt < MEASURE_MS) {
      if (performance.now() > deadline) return;
      const sentAt = performance.now();
      const reply = await leader.propose(COMMAND);
      if (reply.type !== 'committed') throw new Error(`Got ${reply.type}`);
      histogram.recordValue(Math.round((performance.now() - sentAt) * 1_000));
      committed++;
    }
  };
  await Promise.all(
    leaders.flatMap(leader =>
      Array.from({length: inFlight}, () => propose(leader)),
    ),
  );
  const seconds = (performance.now() - startedAt) / 1_000;
  const {user, system} = process.cpuUsage(cpu);
  console.log(
    `groups ${groupCount}, in flight ${inFlight} each: ` +
      `${Math.round(committed / seconds)} commits/s, ` +
      `p50 ${histogram.getValueAtPercentile(50) / 1_000} ms, ` +
      `p99 ${histogram.getValueAtPercentile(99) / 1_000} ms, ` +
      `${((user + system) / committed).toFixed(0)} us CPU a commit ` +
      `(three replicas)`,
  );
}

/** Measures the time from the loss of a leader to the next commit. */
async function measureWriteGap(rounds: number) {
  const gaps: number[] = [];
  for (let round = 0; round < rounds; round++) {
    await using groups = await LocalGroups.start(1);
    const leader = await groups.findLeader('g0');
    await leader.propose(COMMAND);
    const lostAt = performance.now();
    groups.isolatedHosts.add(leader.leader ?? '');
    for (;;) {
      const next = await groups.findLeader('g0');
      const reply = await next.propose(COMMAND);
      if (reply.type === 'committed') break;
    }
    gaps.push(Math.round(performance.now() - lostAt));
  }
  gaps.sort((a, b) => a - b);
  console.log(
    `write gap, ${rounds} losses of the leader: ${gaps.join(' ')} ms`,
  );
}

/** Measures the time to open a log that has no snapshot. */
async function measureRecovery(count: number, bytes: number) {
  const folder = await mkdtemp(join(tmpdir(), 'bench-recovery-'));
  const opened = await openFileLog({folder});
  if (!opened.ok) throw opened.error;
  const command = 'x'.repeat(bytes);
  for (let index = 1; index <= count; index += 64) {
    const length = Math.min(64, count - index + 1);
    const entries = Array.from({length}, (_, n) => ({
      index: index + n,
      term: 1,
      command,
    }));
    await opened.value.append(entries);
  }
  await opened.value[Symbol.asyncDispose]();
  const startedAt = performance.now();
  const reopened = await openFileLog({folder});
  const ms = performance.now() - startedAt;
  if (!reopened.ok || reopened.value.lastIndex !== count) {
    throw new Error('Could not recover all entries');
  }
  await reopened.value[Symbol.asyncDispose]();
  await rm(folder, {recursive: true});
  console.log(`recover ${count} entries of ${bytes} B: ${ms.toFixed(0)} ms`);
}

/** Measures traffic and CPU of idle groups connected through sockets. */
async function measureIdle(groupCount: number) {
  let sentBytes = 0;
  let messages = 0;
  const {send} = WebSocket.prototype;
  WebSocket.prototype.send = function (this: WebSocket, ...args: unknown[]) {
    sentBytes += Buffer.byteLength(String(args[0])) + 6;
    messages++;
    return (send as (...args: unknown[]) => void).apply(this, args);
  };
  const links = new PeerLinks({
    secret: 'secret',
    clock: systemClock,
    calls: PEER_CALLS,
  });
  const port = 20_000 + (process.pid % 20_000);
  const addresses = new Map(
    HOSTS.map((host, n) => [host, `127.0.0.1:${port + n}`]),
  );
  {
    await using groups = await LocalGroups.start(groupCount, () => {
      return (_group, host) => links.get(addresses.get(host) ?? '');
    });
    const servers = await Promise.all(
      HOSTS.map((host, n) =>
        startPeerServer({
          host: '127.0.0.1',
          port: port + n,
          secret: 'secret',
          service: createService(groups, host),
          schemas: peerSchemas,
        }),
      ),
    );
    for (let n = 0; n < groupCount; n++) await groups.findLeader(`g${n}`);
    await sleep(1_500);
    const cpu = process.cpuUsage();
    [sentBytes, messages] = [0, 0];
    await sleep(MEASURE_MS);
    const {user, system} = process.cpuUsage(cpu);
    const seconds = MEASURE_MS / 1_000;
    console.log(
      `idle, ${groupCount} groups: ${(messages / seconds).toFixed(0)} ` +
        `messages/s, ${(sentBytes / seconds / 1_000).toFixed(2)} KB/s sent ` +
        `by three hosts together, ` +
        `${((user + system) / MEASURE_MS / 10).toFixed(2)}% of a core`,
    );
    for (const server of servers) void server[Symbol.asyncDispose]();
  }
  await links[Symbol.asyncDispose]();
  WebSocket.prototype.send = send;
}

function createService(groups: LocalGroups, host: string): PeerService {
  const find = ({group}: {group: string}) => groups.get(group, host);
  const service: Partial<PeerService> = {
    vote: async request => find(request).handleVote(request),
    append: async request => find(request).handleAppend(request),
    installSnapshot: async request => find(request).handleInstall(request),
    describeReplica: async request => find(request).describe(),
    formGroup: async request => find(request).handleForm(request),
    transferLeadership: async request => find(request).handleTransfer(request),
  };
  const rejectCall = () =>
    Promise.reject(new Error('Could not answer: call not served here'));
  return new Proxy(service, {
    get: (target, name) => Reflect.get(target, name) ?? rejectCall,
  }) as PeerService;
}

const sections: Record<string, () => Promise<void>> = {
  async appends() {
    for (const groups of [1, 4]) {
      for (const inFlight of [1, 16, 256]) {
        await measureAppends(groups, inFlight);
      }
    }
  },
  async gap() {
    await measureWriteGap(12);
  },
  async recovery() {
    for (const count of [500, 5_000, 50_000]) await measureRecovery(count, 400);
    await measureRecovery(500, 10_000);
  },
  async idle() {
    for (const groups of [1, 2, 5]) await measureIdle(groups);
  },
};

const selected = process.argv[2];
for (const [name, run] of Object.entries(sections)) {
  if (selected === undefined || selected === name) await run();
}
process.exit(0);
