/** Answers which gateways a caller should use, by its place and what hosts bear. */
import type {Clock} from '../../protocol/clock.ts';
import type {Gateway} from '../../protocol/gateway_entry.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {RouteTable} from '../../protocol/route_table.ts';
import {preferHomeGateways} from '../homes/prefer_home_gateways.ts';
import {
  selectGateways,
  type CallerPlace,
} from '../membership/select_gateways.ts';
import {CallerKeys} from './caller_keys.ts';
import {drawGateways, hasUnevenHosts, MAX_ADDRESSES} from './draw_gateways.ts';

export interface GatewayNamesOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** Lists the open gateways. */
  readonly listGateways: () => readonly Gateway[];
  /** Returns the route table in force; `null` if there is none. */
  readonly getTable: () => RouteTable | null;
}

/** A caller of the directory. */
export interface DirectoryCaller extends CallerPlace {
  /** Its address; `null` if it is unknown. */
  readonly address: string | null;
  /** The host of its requests; empty if it is unknown. */
  readonly host: string;
}

export class GatewayNames {
  private readonly keys: CallerKeys;

  constructor(private readonly options: GatewayNamesOptions) {
    this.keys = new CallerKeys(options);
  }

  /** Lists the addresses of the gateways that a caller should use. */
  list(caller: DirectoryCaller): string[] {
    const {clock, metrics, listGateways} = this.options;
    const near = this.selectNear(caller);
    if (!hasUnevenHosts(listGateways())) {
      return near.slice(0, MAX_ADDRESSES).map(({address}) => address);
    }
    const key = this.keys.get(caller.address);
    const named = drawGateways(near, {caller: key, nowMs: clock.now()});
    const leftOut = near.length - named.length;
    metrics.count('directory_answers');
    if (leftOut > 0) metrics.count('directory_left_out', leftOut);
    return named;
  }

  private selectNear(caller: DirectoryCaller): readonly Gateway[] {
    const {listGateways, getTable} = this.options;
    const near = selectGateways(listGateways(), caller);
    if (near.some(({region}) => region === caller.region)) return near;
    const table = getTable();
    return table ? preferHomeGateways(near, table, caller.host) : near;
  }
}
