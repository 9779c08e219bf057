/** Counts and logs how a request ended. */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {GatewayView} from '../gateway/gateway_view.ts';
import type {CallRun} from './call_run.ts';
import {roundFactor} from './record_attempt.ts';

export interface RecordRunOptions {
  readonly clock: Clock;
  readonly view: GatewayView;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Records the outcome of a finished run. */
export function recordRun(
  {clock, view, logger, metrics}: RecordRunOptions,
  run: CallRun,
): void {
  const {route, service, customer} = run.admitted;
  const ms = clock.monotonic() - run.call.receivedAt;
  metrics.count('requests', 1, {outcome: run.outcome ?? 'none'});
  metrics.record('request_ms', ms, {route: route.name});
  if (run.firstMs !== null) {
    metrics.record('first_ms', run.firstMs, {route: route.name});
  }
  logger.info('Ends a request.', {
    request: run.call.facts.attemptId,
    route: route.name,
    service: service.name,
    customer: customer?.name ?? null,
    outcome: run.outcome,
    status: run.status,
    endpoints: [...run.tried],
    model: run.model,
    confidence: run.confidence,
    hasEscalated: run.hasEscalated,
    escalatedMs: run.escalatedMs,
    hasFallenBack: run.hasFallenBack,
    promptTokens: run.call.facts.promptTokens,
    sharedTokens: run.sharedTokens,
    isRelayed: run.call.relayed !== undefined,
    runs: run.runs,
    notRun: run.notRun,
    subject: run.sharedPrefixId,
    unreadTokens: Math.round(run.uncachedTokens),
    expectedMs: run.expectedMs === null ? null : Math.round(run.expectedMs),
    timeFactor: roundFactor(run.timeFactor),
    beganMs: run.beganMs === null ? null : Math.round(run.beganMs),
    firstMs: run.firstMs === null ? null : Math.round(run.firstMs),
    ms: Math.round(ms),
    configuration: view.routes?.table.version ?? null,
  });
}
