/** Records the result of an attempt for its endpoint and its version. */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {GatewayView} from '../gateway/gateway_view.ts';
import type {Reachability} from '../reach/reachability.ts';
import type {EndpointSpeeds} from '../endpoint_speed/endpoint_speeds.ts';
import type {CallRun} from './call_run.ts';
import type {EndpointHealth} from './endpoint_health.ts';
import type {PrefillBacklog} from './prefill_backlog.ts';
import {isDisconnected, type AttemptResult} from './run_attempt.ts';
import type {VersionEvidenceCounter} from './version_evidence.ts';

/** Prompt parts that a log line names at most. */
const MAX_LOGGED_PARTS = 6;

/** The shortest time that an attempt is expected to need, in ms. */
const MIN_EXPECTED_MS = 5;

export interface RecordAttemptOptions {
  readonly view: GatewayView;
  readonly health: EndpointHealth;
  readonly reach: Reachability;
  readonly evidence: VersionEvidenceCounter;
  readonly prefillBacklog: PrefillBacklog;
  readonly speeds: EndpointSpeeds;
  /** Whether the savings of cached prompt prefixes are weighed; false by default. */
  readonly weighsCachedPrefixes?: boolean;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Results that an endpoint's answer gave. */
const ANSWERED: ReadonlySet<AttemptResult['type']> = new Set([
  'delivered',
  'failed',
  'not-run',
  'escalated',
  'ended',
]);

/** Results without an answer that say nothing against a version. */
const HARMLESS: ReadonlySet<AttemptResult['type']> = new Set([
  'escalated',
  'overdue',
  'ended',
]);

interface Attempt {
  readonly endpoint: EndpointEntry;
  readonly result: AttemptResult;
}

/** Counts and logs an attempt, and updates health and version evidence. */
export function recordAttempt(
  options: RecordAttemptOptions,
  run: CallRun,
  {endpoint, result}: Attempt,
): void {
  const {health, reach, logger, metrics} = options;
  const service = run.admitted.service.name;
  metrics.count('attempts', 1, {service, outcome: result.type});
  const cachedShare = computeCachedShare(run);
  if (options.weighsCachedPrefixes && cachedShare !== null) {
    metrics.record('cached_share', cachedShare, {service});
  }
  if (options.speeds.isReported(service)) recordSpeedMetrics(metrics, run);
  recordReach(reach, {endpoint, result});
  // A gateway without a path learns nothing of endpoints from its links.
  const isOwnFault = isUnreached(result) && reach.isLost(service);
  if (!isOwnFault) recordHealth(health, {endpoint, result});
  if (result.type !== 'delivered') {
    logger.info('Ends an attempt without delivering its answer.', {
      request: run.call.facts.attemptId,
      identity: isDisconnected(result) ? run.identity : undefined,
      endpoint: endpoint.id,
      address: endpoint.address,
      outcome: result.type,
      reason: 'reason' in result ? result.reason : undefined,
      expectedMs: run.expectedMs === null ? null : Math.round(run.expectedMs),
      timeFactor: roundFactor(run.timeFactor),
      beganMs: run.beganMs === null ? null : Math.round(run.beganMs),
      cachedShare: computeCachedShare(run),
      sharedParts: run.sharedPartIds.slice(0, MAX_LOGGED_PARTS),
      open: health.countOpen(endpoint),
    });
  }
  if (!isOwnFault) recordEvidence(options, run, {endpoint, result});
}

/** Rounds a time factor for a log line. */
export function roundFactor(factor: number): number {
  return Math.round(factor * 100) / 100;
}

/** The share of the prompt that the last endpoint was expected to have cached. */
function computeCachedShare({call, uncachedTokens}: CallRun): number | null {
  const {promptTokens} = call.facts;
  if (promptTokens === 0) return null;
  return Math.round((1 - uncachedTokens / promptTokens) * 100) / 100;
}

/** Records how slow endpoints were taken to be, and how far off that was. */
function recordSpeedMetrics(metrics: Metrics, run: CallRun): void {
  const {service} = run.admitted;
  const tags = {service: service.name};
  metrics.record('time_factor', run.timeFactor, tags);
  const {beganMs, expectedMs} = run;
  // The time to begin is predicted for engines only.
  if (!service.engine || beganMs === null || expectedMs === null) return;
  metrics.record('begin_ratio', beganMs / Math.max(1, expectedMs), tags);
}

/** Whether no connection was opened, or it broke off. */
function isUnreached(result: AttemptResult): boolean {
  return result.type === 'not-sent' || isDisconnected(result);
}

function recordHealth(
  health: EndpointHealth,
  {endpoint, result}: Attempt,
): void {
  switch (result.type) {
    case 'delivered':
      if (result.isGood) health.recordSuccess(endpoint);
      else health.recordFailure(endpoint, false);
      return;
    case 'failed':
      return health.recordFailure(endpoint, false);
    case 'broken':
      return health.recordFailure(endpoint, false);
    case 'not-sent':
      return health.recordFailure(endpoint, true);
    case 'not-run':
      if (result.isFull) health.recordFull(endpoint);
      return;
    case 'overdue':
      return health.recordOverdue(endpoint, result.startedAt);
    case 'withdrawn':
    case 'escalated':
    case 'ended':
    case 'cut':
    case 'interrupted':
    case 'left':
      return;
  }
}

function recordReach(reach: Reachability, {endpoint, result}: Attempt): void {
  if (isUnreached(result)) {
    reach.recordFailure(endpoint);
  } else if (ANSWERED.has(result.type)) {
    reach.recordAnswer(endpoint);
  }
}

/** Counts the attempt for its version if the version could affect it. */
function recordEvidence(
  options: RecordAttemptOptions,
  run: CallRun,
  {endpoint, result}: Attempt,
): void {
  const {view, evidence} = options;
  if (result.type === 'not-run' || result.type === 'not-sent') return;
  if (result.type === 'left' || result.type === 'withdrawn') return;
  if (result.type === 'interrupted') return;
  const {route, service} = run.admitted;
  const rollout = view.findRollout(service.name);
  evidence.record(
    {
      service: service.name,
      version: endpoint.version,
      route: route.name,
      model: run.model,
      isFailure: isFailure(result),
      beganMs: run.beganMs,
      expectedMs: computeExpectedMs(options, run, {
        isTarget: rollout?.target === endpoint.version,
      }),
    },
    {
      isRunning: rollout?.state === 'running',
      movesSessions: rollout?.movesSessions ?? false,
    },
  );
}

/**
 * Computes the time that an idle engine of the old version needs for an
 * attempt. The new version's engines have no prompt cached, so that all of the
 * prompt counts there.
 */
function computeExpectedMs(
  {prefillBacklog}: RecordAttemptOptions,
  run: CallRun,
  {isTarget}: {isTarget: boolean},
): number | null {
  if (run.model === null) return null;
  const {service} = run.admitted;
  const rate = prefillBacklog.getRate(service.name, run.model);
  const {promptTokens} = run.call.facts;
  const tokens = isTarget ? promptTokens : run.uncachedTokens;
  return Math.max(MIN_EXPECTED_MS, rate.fixedMs + rate.msPerToken * tokens);
}

/** Whether the attempt counts as a failure of its version, timing aside. */
function isFailure(result: AttemptResult): boolean {
  if (result.type === 'delivered') return !result.isGood;
  return !HARMLESS.has(result.type);
}
