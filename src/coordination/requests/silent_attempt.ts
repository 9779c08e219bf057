/**
 * Decides what becomes of an attempt whose connection is silent.
 *
 * A silence is no evidence that another attempt would do better. The attempt is
 * kept until what follows it is reserved, and ends right before that is sent.
 */
import type {Outcome} from '../../protocol/outcome.ts';
import type {RoutedAttempt} from '../routing/endpoint_router.ts';
import type {DecideStall, Stall} from './dispatch.ts';
import type {RequestContext} from './request_context.ts';
import type {StallObservation} from './request_observer.ts';

export interface SilentAttemptOptions {
  readonly context: Pick<RequestContext, 'logger' | 'observer'>;
  readonly requestId: string;
  readonly kind: StallObservation['kind'];
  /** The version as `model/version`, or the service's name. */
  readonly target: string;
  readonly endpoint: string;
  /** The attempt at the endpoint, which is avoided while it is silent. */
  readonly routed: Pick<RoutedAttempt, 'recordSilence'>;
  /**
   * Checks every precondition of what follows and reserves it, in one step.
   * Returns the name of what was reserved, or the precondition that fails.
   */
  readonly reserveNext: (stall: Stall) => Outcome<string, string>;
}

/** Follows the silences of one attempt; each is logged and counted. */
export class SilentAttempt {
  private refusedBy: string | null = null;
  private left = false;

  constructor(private readonly options: SilentAttemptOptions) {}

  /** Leaves the attempt if something was reserved that follows it. */
  readonly decide: DecideStall = stall => {
    const reserved = this.options.reserveNext(stall);
    if (reserved.ok) {
      this.left = true;
      this.report('resume', {stall, next: reserved.value});
      return 'leave';
    }
    if (this.refusedBy === null) {
      this.options.routed.recordSilence();
      this.report('wait', {stall, refusedBy: reserved.error});
    }
    this.refusedBy = reserved.error;
    return 'listen';
  };

  /** Records that the endpoint spoke. */
  recordEvent(): void {
    if (this.refusedBy === null) return;
    this.refusedBy = null;
    this.observe('spoke');
  }

  /** Records the end of the attempt, with its reason. */
  recordEnd(reason: string): void {
    const {refusedBy} = this;
    if (refusedBy === null || this.left) return;
    this.refusedBy = null;
    const {context, requestId, target, endpoint} = this.options;
    context.logger.warn('Ends a silent attempt that was kept.', {
      request: requestId,
      target,
      endpoint,
      reason,
      refusedBy,
    });
    this.observe('ended');
  }

  private report(
    decision: 'resume' | 'wait',
    fields: {
      readonly stall: Stall;
      readonly next?: string;
      readonly refusedBy?: string;
    },
  ): void {
    const {context, requestId, target, endpoint} = this.options;
    const {stall, ...reasons} = fields;
    context.logger.info('Decides on a silent attempt.', {
      request: requestId,
      target,
      endpoint,
      decision,
      silentMs: Math.round(stall.silentMs),
      ...reasons,
    });
    this.observe(decision);
  }

  private observe(outcome: StallObservation['outcome']): void {
    const {context, kind, target} = this.options;
    context.observer.observeStall({kind, target, outcome});
  }
}
