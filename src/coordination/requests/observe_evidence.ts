/** Collects the evidence for roll-outs from attempts and ratings. */
import type {EvidenceCollector} from '../rollout/evidence_collector.ts';
import type {RequestObserver} from './request_observer.ts';

/** Creates an observer that reports to `collector`. */
export function createEvidenceObserver(
  collector: Pick<
    EvidenceCollector,
    'countRequest' | 'countRating' | 'countBusy'
  >,
): RequestObserver {
  return {
    observeAttempt(attempt) {
      const {kind, target, result, firstTokenMs} = attempt;
      if (kind !== 'completion') return;
      collector.countBusy(target, attempt.durationMs);
      if (result === 'cancelled') return;
      const expectedMs = attempt.expectedFirstTokenMs ?? Infinity;
      collector.countRequest({
        version: target,
        failed: result === 'failed',
        slow: (firstTokenMs ?? 0) > expectedMs,
      });
    },
    observeStall() {},
    observeAnswer({version, score}) {
      if (score !== undefined) collector.countRating(version, score);
    },
    observeRequest() {},
  };
}
