/** Answers which gateways a caller should use, by its place and what hosts bear. */
import type {Clock} from '../../protocol/clock.ts';
import type {Gateway} from '../../protocol/core_service.ts';
import type {Metrics} from '../../protocol/metrics.ts';
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
}

/** A caller of the directory. */
export interface DirectoryCaller extends CallerPlace {
  /** Its address; `null` if it is unknown. */
  readonly address: string | null;
}

export class GatewayNames {
  private readonly keys: CallerKeys;

  constructor(private readonly options: GatewayNamesOptions) {
    this.keys = new CallerKeys(options);
  }

  /** Lists the addresses of the gateways that a caller should use. */
  list(caller: DirectoryCaller): string[] {
    const {clock, metrics, listGateways} = this.options;
    const open = listGateways();
    const near = selectGateways(open, caller);
    if (!hasUnevenHosts(open)) {
      return near.slice(0, MAX_ADDRESSES).map(({address}) => address);
    }
    const key = this.keys.get(caller.address);
    const named = drawGateways(near, {caller: key, nowMs: clock.now()});
    const leftOut = near.length - named.length;
    metrics.count('directory_answers');
    if (leftOut > 0) metrics.count('directory_left_out', leftOut);
    return named;
  }
}
