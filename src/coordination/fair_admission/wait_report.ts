/** Compares predicted waits with actual ones: metrics, and a bounded log. */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {ServiceLane, WaitOutcome} from './service_lane.ts';

/** The least time between two log lines on a service. */
const LOG_INTERVAL_MS = 1_000;

export interface WaitReportOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export interface EndedWait {
  readonly rank: number;
  readonly outcome: WaitOutcome;
  readonly predictedMs: number;
  readonly actualMs: number;
}

interface Tally {
  loggedAt: number;
  refused: number;
  expired: number;
  admitted: number;
  left: number;
  predictedMs: number;
  actualMs: number;
}

export class WaitReport {
  private readonly tallies = new Map<string, Tally>();

  constructor(private readonly options: WaitReportOptions) {}

  recordRefusal(service: string, lane: ServiceLane, rank: number): void {
    this.options.metrics.count('admissions', 1, {
      service,
      rank: String(rank),
      outcome: 'refused',
    });
    this.getTally(service).refused++;
    this.log(service, lane);
  }

  recordWait(
    service: string,
    lane: ServiceLane,
    {rank, outcome, predictedMs, actualMs}: EndedWait,
  ): void {
    const {metrics} = this.options;
    metrics.count('admissions', 1, {service, rank: String(rank), outcome});
    metrics.record('admission_predicted_ms', predictedMs, {service});
    metrics.record('admission_wait_ms', actualMs, {service});
    const tally = this.getTally(service);
    tally[outcome]++;
    tally.predictedMs += predictedMs;
    tally.actualMs += actualMs;
    this.log(service, lane);
  }

  private log(service: string, lane: ServiceLane): void {
    const {clock, logger} = this.options;
    const now = clock.monotonic();
    const tally = this.getTally(service);
    if (now - tally.loggedAt < LOG_INTERVAL_MS) return;
    const {refused, expired, admitted, left, predictedMs, actualMs} = tally;
    const waited = Math.max(1, admitted + expired + left);
    const pace = lane.pace.perSecond;
    logger.info('Limits the requests to a service that has no room.', {
      service,
      refused,
      expired,
      admitted,
      left,
      predictedMs: Math.round(predictedMs / waited),
      actualMs: Math.round(actualMs / waited),
      waiting: lane.length,
      demandPerSecond: Math.round(lane.demandPerSecond),
      pacePerSecond: pace === Infinity ? null : Math.round(pace),
    });
    this.tallies.set(service, createTally(now));
  }

  private getTally(service: string): Tally {
    const known = this.tallies.get(service);
    if (known) return known;
    const tally = createTally(-Infinity);
    this.tallies.set(service, tally);
    return tally;
  }
}

function createTally(loggedAt: number): Tally {
  return {
    loggedAt,
    refused: 0,
    expired: 0,
    admitted: 0,
    left: 0,
    predictedMs: 0,
    actualMs: 0,
  };
}
