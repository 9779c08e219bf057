/** Measures the traffic of endpoint records within a data centre. */
import {setImmediate as yieldTask} from 'node:timers/promises';
import type {Host} from '../../src/protocol/control.ts';
import {announcementSchema} from '../../src/protocol/endpoint.ts';
import {EndpointTable} from '../../src/coordination/membership/endpoint_table.ts';
import {RecordExchange} from '../../src/coordination/membership/record_exchange.ts';

/** The whole present system, and one data centre as expected in two years. */
const SIZES = [
  {daemons: 9, endpoints: 9},
  {daemons: 27, endpoints: 150},
];

/** Number of daemons that each endpoint announces itself to. */
const DAEMONS_PER_ENDPOINT = 2;
const DURATION_S = 30;

/** Overhead of each message: the frame, the call's name and so on. */
const ENVELOPE_BYTES = 90;

export async function measureExchange(): Promise<string[]> {
  const lines: string[] = [];
  for (const size of SIZES) lines.push(await measureSize(size));
  return lines;
}

/** Runs the daemons on a simulated clock and counts the bytes they send. */
async function measureSize(size: {
  daemons: number;
  endpoints: number;
}): Promise<string> {
  const simulation = {time: 0, messages: 0, bytes: 0};
  const clock = {
    now: () => simulation.time,
    monotonic: () => simulation.time,
    sleep: () => yieldTask(),
  };
  const hosts = Array.from({length: size.daemons}, (_none, index) =>
    createHost(`host-${index}`),
  );
  const exchanges = new Map<string, RecordExchange>();
  for (const own of hosts) {
    const exchange = new RecordExchange({
      clock,
      own,
      table: new EndpointTable(clock),
      listHosts: () => hosts,
      send: async (host, request) => {
        simulation.messages++;
        simulation.bytes += JSON.stringify(request).length + ENVELOPE_BYTES;
        const reply = exchanges.get(host.name)?.receive(request);
        if (!reply) throw new Error(`Could not find "${host.name}"`);
        simulation.bytes += JSON.stringify(reply).length + ENVELOPE_BYTES;
        return reply;
      },
    });
    exchanges.set(own.name, exchange);
  }
  const all = [...exchanges.values()];
  for (let second = 0; second < DURATION_S; second++) {
    // Excludes the first announcements, which are not the steady state.
    if (second === 2) simulation.messages = simulation.bytes = 0;
    for (let number = 0; number < size.endpoints; number++) {
      for (let daemon = 0; daemon < DAEMONS_PER_ENDPOINT; daemon++) {
        const exchange = all[(number + daemon * 7) % all.length];
        exchange?.announce(createAnnouncement(number, second));
      }
    }
    for (const exchange of all) {
      exchange.enqueueRenewals();
      for (let turn = 0; turn < 5; turn++) await yieldTask();
    }
    simulation.time += 1_000;
  }
  const perDaemon = simulation.bytes / (DURATION_S - 2) / size.daemons;
  const messages = simulation.messages / (DURATION_S - 2) / size.daemons;
  const both = (perDaemon * 2).toFixed(0);
  return `exchange, ${size.daemons} daemons, ${size.endpoints} endpoints, steady: ${both} B/s sent and received a daemon, ${messages.toFixed(1)} messages/s sent`;
}

function createHost(name: string): Host {
  return {
    name,
    region: 'north',
    dataCentre: 'a',
    publicAddress: '10.0.0.1:8080',
    peerAddress: '10.0.0.1:8081',
    gateway: true,
    leaving: false,
  };
}

function createAnnouncement(number: number, second: number) {
  return announcementSchema.parse({
    name: `engine-${number}`,
    incarnation: `inc-${number}`,
    address: `10.1.0.${number}:9000`,
    region: 'north',
    dataCentre: 'a',
    pool: `pool-${number % 10}`,
    versions: ['draft/small', 'draft/large'],
    load: {running: (number + second) % 16, waiting: 0, ageMs: 120},
  });
}
