/** Learns the endpoints from a neighbour after a start. */
import type {Clock} from '../../protocol/clock.ts';
import type {Host} from '../../protocol/control.ts';
import type {EndpointRecord} from '../../protocol/endpoint.ts';
import type {EndpointTable} from './endpoint_table.ts';

/** How often it is looked whether another daemon is known. */
const POLL_MS = 100;

/** After this long the endpoints themselves have announced again. */
const GIVE_UP_MS = 5_000;

/** The neighbours that are asked. */
const ASKED_HOSTS = 2;

export interface RelearnOptions {
  readonly clock: Clock;
  readonly own: Pick<Host, 'name' | 'region' | 'dataCentre'>;
  readonly table: EndpointTable;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly listHosts: () => readonly Host[];
  /** Reads the table of one daemon; a rejection counts as silence. */
  readonly read: (host: Host) => Promise<readonly EndpointRecord[]>;
  readonly signal: AbortSignal;
}

/**
 * Waits until others are known and takes over what they know of endpoints.
 * Near daemons come first and chance decides among them, so that many that
 * start at once do not ask the same one.
 *
 * @return The number of endpoints that were learnt.
 */
export async function relearnEndpoints(
  options: RelearnOptions,
): Promise<number> {
  const {clock, table, signal} = options;
  const deadline = clock.monotonic() + GIVE_UP_MS;
  while (!signal.aborted && clock.monotonic() < deadline) {
    const records = await readNeighbours(options);
    if (records) return records.filter(record => table.merge(record)).length;
    await clock.sleep(POLL_MS, signal);
  }
  return 0;
}

/** The records of the nearest daemons; `null` when none answered. */
async function readNeighbours(
  options: RelearnOptions,
): Promise<EndpointRecord[] | null> {
  const asked = orderNeighbours(options).slice(0, ASKED_HOSTS);
  const answers = await Promise.all(
    asked.map(host => options.read(host).catch(() => null)),
  );
  const read = answers.filter(answer => answer !== null);
  return read.length === 0 ? null : read.flat();
}

function orderNeighbours(options: RelearnOptions): Host[] {
  const {own, random} = options;
  const rank = (host: Host) =>
    host.dataCentre === own.dataCentre ? 0 : host.region === own.region ? 1 : 2;
  return options
    .listHosts()
    .filter(host => host.name !== own.name && !host.leaving)
    .map(host => ({host, order: rank(host) + random()}))
    .sort((a, b) => a.order - b.order)
    .map(({host}) => host);
}
