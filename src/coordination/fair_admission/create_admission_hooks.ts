/** Creates what the request path uses where fair admission is on. */
import type {SendAttempt} from '../forwarding/call.ts';
import type {AdmissionHooks} from './admission_hooks.ts';
import {computeRankUrgency} from './compute_urgency.ts';
import {FairAdmission, type FairAdmissionOptions} from './fair_admission.ts';

export interface CreateAdmissionHooksOptions extends FairAdmissionOptions {
  /** Whether the deployment asks for fair admission. */
  readonly isOn: boolean;
  /** Sends one attempt. */
  readonly send: SendAttempt;
}

/** Returns `send` alone if fair admission is off. */
export function createAdmissionHooks(
  options: CreateAdmissionHooksOptions,
): AdmissionHooks & {readonly send: SendAttempt} {
  const {isOn, send} = options;
  if (!isOn) return {send};
  const admission = new FairAdmission(options);
  return {
    admission,
    computeUrgency: computeRankUrgency,
    send: admission.observe(send),
  };
}
