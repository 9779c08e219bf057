/** Creates what the request path uses where fair admission is on. */
import type {SendAttempt} from '../forwarding/call.ts';
import type {AdmissionHooks} from './admission_hooks.ts';
import {computeRankUrgency} from './compute_urgency.ts';
import {FairAdmission, type FairAdmissionOptions} from './fair_admission.ts';

export interface CreateAdmissionHooksOptions extends FairAdmissionOptions {
  /** Whether requests may wait or be refused before their first attempt. */
  readonly isOn: boolean;
  /** Whether engines get ranks as urgencies; as with `isOn` by default. */
  readonly sendsRanks?: boolean;
  /** Sends one attempt. */
  readonly send: SendAttempt;
}

/** Returns `send` alone if fair admission is off. */
export function createAdmissionHooks(
  options: CreateAdmissionHooksOptions,
): AdmissionHooks & {readonly send: SendAttempt} {
  const {isOn, sendsRanks = isOn, send} = options;
  const ranks = sendsRanks ? {computeUrgency: computeRankUrgency} : {};
  if (!isOn) return {...ranks, send};
  const admission = new FairAdmission(options);
  return {
    admission,
    ...ranks,
    send: admission.observe(send),
  };
}
