/** Reports of gateways, for tests and simulations. */
import type {GatewayReport} from '../../protocol/core_service.ts';
import type {Gateway} from '../../protocol/gateway_entry.ts';

/** Creates the report of a gateway that has observed nothing. */
export function createGatewayReport(
  gateway: Partial<Gateway> & Pick<Gateway, 'address'>,
  change: Partial<GatewayReport> = {},
): GatewayReport {
  return {
    gateway: {region: 'r', dataCentre: 'a', open: true, ...gateway},
    loads: [],
    evidence: [],
    paces: [],
    leaving: [],
    limits: [],
    suspects: [],
    ...change,
  };
}
