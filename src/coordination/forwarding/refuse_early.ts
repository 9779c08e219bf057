/** Refuses a request that is not admitted. */
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {GatewayView} from '../gateway/gateway_view.ts';
import type {Call, CallerSink} from './call.ts';
import {planEarlyRefusal, type PlanRefusalOptions} from './plan_refusal.ts';
import {refuseCall, type RefusalReason} from './refuse.ts';
import type {Shutdown} from './shutdown.ts';

export interface RefuseEarlyOptions extends PlanRefusalOptions {
  readonly view: Pick<GatewayView, 'routes'>;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export interface EarlyRefusal {
  readonly sink: CallerSink;
  readonly reason: RefusalReason;
  readonly shutdown: Pick<Shutdown, 'retryAfterMs'>;
}

/** Refuses a request; counts and logs the refusal. */
export function refuseEarly(
  options: RefuseEarlyOptions,
  call: Call,
  {sink, reason, shutdown}: EarlyRefusal,
): void {
  const status = refuseCall(sink, planEarlyRefusal(options, reason, shutdown));
  options.metrics.count('requests', 1, {outcome: reason});
  options.logger.info('Refuses a request.', {
    request: call.facts.attemptId,
    host: call.host,
    path: call.path,
    reason,
    status,
    configuration: options.view.routes?.table.version ?? null,
  });
}
