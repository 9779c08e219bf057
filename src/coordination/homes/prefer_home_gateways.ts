/**
 * Prefers gateways in home regions for a caller whose own region has none: it would
 * be directed to any region otherwise.
 */
import type {Configuration} from '../../protocol/core_service.ts';
import type {Gateway} from '../../protocol/gateway_entry.ts';
import type {Outcome} from '../../protocol/outcome.ts';
import type {RouteTable} from '../../protocol/route_table.ts';

/**
 * Returns the gateways in the regions that all routes of a host allow; if there are
 * none, in those that any of its routes with home regions names; else all.
 */
export function preferHomeGateways(
  gateways: readonly Gateway[],
  table: RouteTable,
  host: string,
): readonly Gateway[] {
  const name = host.toLowerCase();
  const homes = table.routes
    .filter(route => route.host.toLowerCase() === name)
    .map(({allowedRegions = []}) => allowedRegions)
    .filter(regions => regions.length > 0);
  if (homes.length === 0) return gateways;
  const inAll = gateways.filter(({region}) =>
    homes.every(regions => regions.includes(region)),
  );
  if (inAll.length > 0) return inAll;
  const inSome = gateways.filter(({region}) =>
    homes.some(regions => regions.includes(region)),
  );
  return inSome.length > 0 ? inSome : gateways;
}

export interface TableReaderOptions {
  readonly getConfiguration: () => Configuration;
  readonly decodeTable: (document: string) => Outcome<RouteTable, string>;
}

/**
 * Creates a function that returns the table in force, decoded when it is first asked
 * for; `null` if there is none.
 */
export function createTableReader({
  getConfiguration,
  decodeTable,
}: TableReaderOptions): () => RouteTable | null {
  let known: {version: number; table: RouteTable | null} | null = null;
  return () => {
    const {version, document} = getConfiguration();
    if (version === null || document === null) return null;
    if (known?.version !== version) {
      const decoded = decodeTable(document);
      known = {version, table: decoded.ok ? decoded.value : null};
    }
    return known.table;
  };
}
