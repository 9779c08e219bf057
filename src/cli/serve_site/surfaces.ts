/** Interfaces that adapt the daemon to the protocol of a deployment. */
import type {CoreApi} from '../../coordination/core/core_api.ts';
import type {DirectoryCaller} from '../../coordination/host_capacity/gateway_names.ts';
import type {Outcome} from '../../protocol/outcome.ts';
import type {RouteTable} from '../../protocol/route_table.ts';
import type {
  CallCodec,
  RelayCodec,
} from '../../transport/forwarding/call_codec.ts';
import type {ApiRoute} from '../../transport/forwarding/api_server.ts';

/** Lists the addresses of the gateways that a caller should use. */
export type ListGateways = (caller: DirectoryCaller) => string[];

/** Optional behaviour that a deployment asks for. */
export interface SiteFeatures {
  /** Whether customers share scarce endpoints by rank and fair shares. */
  readonly hasFairAdmission: boolean;
  /**
   * Whether the savings of cached prompt prefixes are weighed against the wait, also
   * where the settings do not say so.
   */
  readonly weighsCachedPrefixes: boolean;
}

/** Translates between a deployment's protocol and the internal types. */
export interface SiteSurfaces {
  readonly codec: CallCodec & RelayCodec;
  /** Finds what the contracts in the settings ask for. */
  readonly decodeFeatures: (contracts: readonly string[]) => SiteFeatures;
  /** Decodes an operator's document; fails with the reasons if invalid. */
  readonly decodeTable: (document: string) => Outcome<RouteTable, string>;
  /** Creates the routes for endpoints and operators. */
  readonly createControlRoutes: (
    api: CoreApi,
    options: {readonly isDataCentre: (name: string) => boolean},
  ) => readonly ApiRoute[];
  /** Creates the routes for gateway discovery by callers. */
  readonly createDirectoryRoutes: (options: {
    readonly listGateways: ListGateways;
    readonly ttlSeconds: number;
  }) => readonly ApiRoute[];
  /** Creates the readiness checks of a gateway. */
  readonly createReadyRoutes: (isReady: () => boolean) => readonly ApiRoute[];
}
