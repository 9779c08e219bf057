/** Records the metrics of requests, attempts and answers. */
import type {Metrics} from '../../protocol/metrics.ts';
import type {RequestObserver} from './request_observer.ts';

/** Creates an observer that reports to `metrics`. */
export function createMetricsObserver(metrics: Metrics): RequestObserver {
  return {
    observeAttempt(attempt) {
      const {target, result, firstTokenMs, tokenGapMs, remoteBytes} = attempt;
      metrics.count('attempts', 1, {target, result});
      if (firstTokenMs !== undefined) {
        metrics.record('attempt.first_token_ms', firstTokenMs, {target});
      }
      if (tokenGapMs !== undefined) {
        metrics.record('attempt.token_gap_ms', tokenGapMs, {target});
      }
      if (remoteBytes > 0) metrics.count('link.bytes', remoteBytes);
    },
    observeStall({kind, target, outcome}) {
      metrics.count('attempt.stalls', 1, {kind, target, outcome});
    },
    observeAnswer({version, released, score}) {
      const shown = released ? 'true' : 'false';
      metrics.count('answers', 1, {version, released: shown});
      if (score !== undefined) metrics.record('quality', score, {version});
    },
    observeRequest(request) {
      const {kind, outcome, code, customer, attempts, bill} = request;
      metrics.count('requests', 1, {kind, outcome, code: code || 'none'});
      metrics.record('request.duration_ms', request.durationMs, {kind});
      metrics.record('request.queued_ms', request.queuedMs, {kind});
      if (request.firstTokenMs !== undefined) {
        metrics.record('request.first_token_ms', request.firstTokenMs);
      }
      if (attempts > 1) metrics.count('retries', attempts - 1, {kind});
      if (!bill) return;
      metrics.count('bills', 1, {target: bill.target});
      metrics.count('cost', bill.cost, {target: bill.target, customer});
    },
  };
}
