/** Runs version placement while this daemon leads the control group. */
import type {ControlResult} from '../../protocol/control.ts';
import type {EndpointTable} from '../../coordination/membership/endpoint_table.ts';
import type {DemandTable} from '../../coordination/placement/demand_table.ts';
import {PlacementController} from '../../coordination/placement/placement_controller.ts';
import {createOrderClient} from '../../transport/endpoints/order_client.ts';
import type {DaemonParts} from './daemon.ts';
import type {Replicas} from './replicas.ts';
import type {Secrets} from './secrets.ts';

export interface PlacementOptions {
  readonly replicas: Replicas;
  readonly endpoints: EndpointTable;
  readonly demand: DemandTable;
  readonly secrets: Secrets;
}

/** Starts the controller on daemons with a control replica. */
export function startPlacement(
  parts: DaemonParts,
  options: PlacementOptions,
): void {
  const {clock, store, createLogger} = parts;
  const {control} = options.replicas;
  if (!control) return;
  const {replica, state} = control;
  const controller = new PlacementController({
    clock,
    logger: createLogger('placement'),
    demand: options.demand,
    isLeader: () => replica.isLeader(),
    getLeaderSince: () => replica.leaderSince,
    getView: () => state.view,
    listEndpoints: () => options.endpoints.list(),
    takeFencing: async () => {
      const reply = await replica.propose({type: 'take_fencing'});
      if (reply.type !== 'committed') return null;
      const result = reply.result as ControlResult;
      return result.type === 'fencing' ? result.number : null;
    },
    sendOrder: createOrderClient(options.secrets.endpoint),
  });
  store.add(controller).start();
}
