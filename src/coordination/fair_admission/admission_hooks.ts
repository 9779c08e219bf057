/** What the request path asks fair admission; absent where it is off. */
import type {CallerSink} from '../forwarding/call.ts';
import type {CallRun} from '../forwarding/call_run.ts';
import type {Shutdown} from '../forwarding/shutdown.ts';
import type {ComputeUrgency} from './compute_urgency.ts';

export interface AdmitOptions {
  readonly sink: CallerSink;
  readonly shutdown: Pick<Shutdown, 'handleAbort'>;
}

/** Decides who waits, who is refused, and who comes back when. */
export interface Admission {
  /** Resolves when a request may go; finishes the run if it may not. */
  admit(run: CallRun, options: AdmitOptions): Promise<void>;
  /**
   * Records that no endpoint took a request, and plans when its caller returns, in
   * ms from now.
   */
  recordNoRoom(run: CallRun): number;
  /** Retries that one of this request must leave in the budget for others. */
  getRetryReserve(run: CallRun): number;
}

export interface AdmissionHooks {
  /** Absent if requests go to endpoints at once. */
  readonly admission?: Admission;
  /** The urgency of attempts at engines; by the model alone by default. */
  readonly computeUrgency?: ComputeUrgency;
}
