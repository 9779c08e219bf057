/** Rebuilds the endpoint table from other daemons after a restart. */
import type {Clock} from '../../protocol/clock.ts';
import type {Host} from '../../protocol/control.ts';
import type {EndpointRecord} from '../../protocol/endpoint.ts';
import type {EndpointTable} from './endpoint_table.ts';

/** How often the list of hosts is polled until another daemon answers. */
const POLL_MS = 100;

/** After this time the endpoints themselves have announced again. */
const REBUILD_TIMEOUT_MS = 5_000;

/** The number of nearest daemons that are read at once. */
const MAX_HOSTS_ASKED = 2;

export interface RebuildOptions {
  readonly clock: Clock;
  readonly own: Pick<Host, 'name' | 'region' | 'dataCentre'>;
  readonly table: EndpointTable;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly listHosts: () => readonly Host[];
  /** Reads the table of one daemon; a rejection counts as a missing answer. */
  readonly read: (host: Host) => Promise<readonly EndpointRecord[]>;
  readonly signal: AbortSignal;
}

/**
 * Waits until other daemons are known and merges their endpoint records. Near
 * daemons come first, in random order, so that daemons that start at the same
 * time do not all ask the same one.
 *
 * @return The number of endpoints that changed.
 */
export async function rebuildEndpointTable(
  options: RebuildOptions,
): Promise<number> {
  const {clock, table, signal} = options;
  const deadline = clock.monotonic() + REBUILD_TIMEOUT_MS;
  while (!signal.aborted && clock.monotonic() < deadline) {
    const records = await readNearestHosts(options);
    if (records) return records.filter(record => table.merge(record)).length;
    await clock.sleep(POLL_MS, signal);
  }
  return 0;
}

/** Reads the records of the nearest daemons; `null` when none answered. */
async function readNearestHosts(
  options: RebuildOptions,
): Promise<EndpointRecord[] | null> {
  const asked = listHostsByDistance(options).slice(0, MAX_HOSTS_ASKED);
  const answers = await Promise.all(
    asked.map(host => options.read(host).catch(() => null)),
  );
  const read = answers.filter(answer => answer !== null);
  return read.length === 0 ? null : read.flat();
}

function listHostsByDistance(options: RebuildOptions): Host[] {
  const {own, random} = options;
  const rank = (host: Host) =>
    host.dataCentre === own.dataCentre ? 0 : host.region === own.region ? 1 : 2;
  return options
    .listHosts()
    .filter(host => host.name !== own.name && !host.leaving)
    .map(host => ({host, distance: rank(host) + random()}))
    .sort((a, b) => a.distance - b.distance)
    .map(({host}) => host);
}
