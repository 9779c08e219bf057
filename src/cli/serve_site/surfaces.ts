/** What a deployment's own wire brings to the daemon that speaks it. */
import type {CoreApi} from '../../coordination/core/core_api.ts';
import type {CallerPlace} from '../../coordination/membership/select_gateways.ts';
import type {Outcome} from '../../protocol/outcome.ts';
import type {RouteTable} from '../../protocol/route_table.ts';
import type {CallCodec} from '../../transport/forwarding/call_codec.ts';
import type {ApiRoute} from '../../transport/forwarding/api_server.ts';

/** Finds the addresses of gateways for a caller. */
export type ListGateways = (place: CallerPlace) => string[];

/** Translations between the wire of a deployment and the product. */
export interface SiteSurfaces {
  readonly codec: CallCodec;
  /** Reads an operator's document, or says why it is invalid. */
  readonly decodeTable: (document: string) => Outcome<RouteTable, string>;
  /** The calls of endpoints and operators. */
  readonly createControlRoutes: (api: CoreApi) => readonly ApiRoute[];
  /** The calls by which callers look for gateways. */
  readonly createDirectoryRoutes: (options: {
    readonly listGateways: ListGateways;
    readonly ttlSeconds: number;
  }) => readonly ApiRoute[];
  /** The checks of a gateway's readiness. */
  readonly createReadyRoutes: (isReady: () => boolean) => readonly ApiRoute[];
}
