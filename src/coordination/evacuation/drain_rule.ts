/**
 * Keeps requests away from the endpoints of drained data centres.
 *
 * The configuration in force decides, at each choice and right before the first byte:
 * a drain is acknowledged once all gateways in contact have it. Requests that an
 * endpoint has already go on there.
 */
import type {Metrics} from '../../protocol/metrics.ts';
import type {GatewayView} from '../gateway/gateway_view.ts';
import type {EndpointRule} from '../selection/endpoint_rules.ts';

export interface DrainRuleOptions {
  readonly view: Pick<GatewayView, 'isDrained'>;
  readonly metrics: Metrics;
}

/** Creates the rule. */
export function createDrainRule({
  view,
  metrics,
}: DrainRuleOptions): EndpointRule {
  return {
    isAllowed(_run, {dataCentre, service}) {
      if (!view.isDrained(dataCentre)) return true;
      metrics.count('drained_endpoints_skipped', 1, {service});
      return false;
    },
  };
}
