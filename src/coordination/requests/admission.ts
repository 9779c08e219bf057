/**
 * Admits completions to the ledger and pins sessions to versions.
 *
 * A session's pin is committed before the first byte of an answer is sent. A
 * withdrawal overrides a pin: the session is moved to another version, and the
 * caller is notified.
 */
import type {
  CompletionRequest,
  RequestError,
} from '../../protocol/completion.ts';
import type {ControlView} from '../../protocol/control.ts';
import {
  formatVersion,
  type Customer,
  type Version,
} from '../../protocol/declaration.ts';
import type {LedgerResult} from '../../protocol/ledger.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {CompletionPlan} from '../routing/completion_plan.ts';
import {isAllowed, isWithdrawn} from '../routing/eligible_versions.ts';
import {waitAtMost, type Deadline} from './deadline.ts';
import type {RequestContext} from './request_context.ts';
import {
  describeDuplicate,
  describeNoVersion,
  leaseExpiredError,
  ledgerUnavailableError,
} from './request_errors.ts';

export interface CompletionCall {
  readonly requestId: string;
  readonly customer: Customer;
  readonly request: CompletionRequest;
  /** The caller's idempotency key, or the request id. */
  readonly key: string;
  /** SHA-256 of the request's body. */
  readonly digest: string;
  readonly session?: string;
  readonly requestClass?: string;
  readonly deadlineMs?: number;
}

/** The plan of a request and the state of its admission by the ledger. */
export interface Admission {
  readonly plan: CompletionPlan;
  /** Whether the session was moved off the version it was pinned to. */
  readonly moved: boolean;
  /** Whether the ledger has pinned the session to the plan's version. */
  readonly pinned: boolean;
  /**
   * Resolves to the ledger's refusal, or to `null` once it admitted the
   * request. Nothing may be sent to the caller before that.
   */
  readonly committed: Promise<RequestError | null>;
}

/** The assumed length of an answer whose request sets no limit. */
const DEFAULT_ANSWER_TOKENS = 256;

/** An approximation of the characters per token of a prompt. */
const CHARACTERS_PER_TOKEN = 4;

/** Admits a planned completion. */
export async function admitCompletion(
  call: CompletionCall,
  context: RequestContext,
  deadline: Deadline,
  plan: CompletionPlan,
): Promise<Outcome<Admission, RequestError>> {
  const first = plan.steps[0];
  // With a rated first step, the version to pin is known only at its release.
  const version = first?.release === 'direct' ? first.version : undefined;
  const submitted = submitAdmission({call, context, deadline}, {version});
  if (call.session === undefined && call.key === call.requestId) {
    const committed = submitted.then(describeAdmission);
    return succeed({plan, moved: false, pinned: false, committed});
  }
  const result = await submitted;
  const refusal = describeAdmission(result);
  if (refusal) return fail(refusal);
  const pinned = result?.type === 'admitted' ? result.pinned : undefined;
  if (pinned === undefined || (version && pinned === formatVersion(version))) {
    return succeed({
      plan,
      moved: false,
      pinned: pinned !== undefined,
      committed: Promise.resolve(null),
    });
  }
  return applyPin(call, context, deadline, pinned);
}

/**
 * Pins a session to the version of a rated answer.
 *
 * @returns The version that the session is pinned to, or `null` when the
 *     ledger did not confirm it.
 */
export async function pinSession(
  call: CompletionCall,
  context: RequestContext,
  deadline: Deadline,
  version: Version,
): Promise<string | null> {
  const result = await submitAdmission({call, context, deadline}, {version});
  if (result?.type !== 'admitted') return null;
  return result.pinned ?? formatVersion(version);
}

/** Plans for the pinned version, or moves the session if it is unusable. */
async function applyPin(
  call: CompletionCall,
  context: RequestContext,
  deadline: Deadline,
  pinned: string,
): Promise<Outcome<Admission, RequestError>> {
  const view = context.getView();
  if (!view) return fail(leaseExpiredError);
  const committed = Promise.resolve(null);
  if (isUsable(view, call.customer, pinned)) {
    const planned = planCall(call, context, deadline, pinned);
    if (!planned.ok) return planned;
    const plan = planned.value;
    if (plan.steps.length === 0) return fail(describeNoVersion(plan.rejected));
    return succeed({plan, moved: false, pinned: true, committed});
  }
  const planned = planCall(call, context, deadline);
  if (!planned.ok) return planned;
  const plan = planned.value;
  // The last step is always released directly, so its version can be pinned.
  const last = plan.steps.at(-1);
  if (!last) return fail(describeNoVersion(plan.rejected));
  const result = await submitAdmission(
    {call, context, deadline},
    {version: last.version, repin: true},
  );
  if (result?.type !== 'admitted') return fail(ledgerUnavailableError);
  return succeed({
    plan: {...plan, steps: [last]},
    moved: true,
    pinned: true,
    committed,
  });
}

function isUsable(
  view: ControlView,
  customer: Customer,
  pinned: string,
): boolean {
  const version = view.declaration?.versions.find(
    each => formatVersion(each) === pinned,
  );
  if (!version) return false;
  return isAllowed(customer, version) && !isWithdrawn(view, version);
}

/** Plans a completion. A plan without steps is not an error here. */
export function planCall(
  call: CompletionCall,
  context: RequestContext,
  deadline: Deadline,
  pinned?: string,
): Outcome<CompletionPlan, RequestError> {
  const view = context.getView();
  if (!view) return fail(leaseExpiredError);
  const characters = measurePrompt(call.request);
  return succeed(
    context.decisions.plan({
      view,
      customer: call.customer,
      model: call.request.model,
      requestClass: call.requestClass,
      routingKey: call.session ?? call.requestId,
      sticky: call.session !== undefined,
      pinned,
      streamed: call.request.stream,
      deadlineMs: deadline.remainingMs(),
      promptTokens: Math.ceil(characters / CHARACTERS_PER_TOKEN),
      completionTokens: call.request.max_tokens ?? DEFAULT_ANSWER_TOKENS,
    }),
  );
}

/** Counts the characters of a prompt's text; other content is ignored. */
export function measurePrompt(request: CompletionRequest): number {
  return request.messages.reduce((sum, {content}) => {
    return sum + (typeof content === 'string' ? content.length : 0);
  }, 0);
}

interface AdmissionParts {
  readonly call: CompletionCall;
  readonly context: RequestContext;
  readonly deadline: Deadline;
}

async function submitAdmission(
  {call, context, deadline}: AdmissionParts,
  pin: {readonly version?: Version; readonly repin?: boolean},
): Promise<LedgerResult | null> {
  const submitted = context.ledger.submit(call.customer.name, call.key, {
    type: 'admit',
    requestId: call.requestId,
    customer: call.customer.name,
    key: call.key,
    digest: call.digest,
    repeatable: true,
    gateway: context.gateway,
    session: call.session,
    version: pin.version && formatVersion(pin.version),
    repin: pin.repin ?? false,
    atMs: context.clock.now(),
  });
  const result = await waitAtMost(
    submitted,
    deadline.remainingMs(),
    context.clock,
  );
  if (!result) {
    // The admission may be committed nevertheless, so it is settled as not-run.
    context.settler.settleAfter(submitted, {
      type: 'settle',
      requestId: call.requestId,
      customer: call.customer.name,
      key: call.key,
      status: 'not-run',
      atMs: context.clock.now(),
    });
  }
  return result;
}

function describeAdmission(result: LedgerResult | null): RequestError | null {
  if (!result) return ledgerUnavailableError;
  return result.type === 'admitted' ? null : describeDuplicate(result);
}
