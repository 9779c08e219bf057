/**
 * Runs a version in parallel with a request, only to rate its answer.
 *
 * The answer is neither delivered nor billed. A shadow that would have to wait
 * for a slot does not run, so that it takes no slot from another request.
 */
import {formatVersion} from '../../protocol/declaration.ts';
import {createIdentifier} from '../../protocol/identifiers.ts';
import type {CompletionPlan} from '../routing/completion_plan.ts';
import type {CompletionCall} from './admission.ts';
import {AnswerRun} from './answer_run.ts';
import {createDeadline} from './deadline.ts';
import {DEFAULT_DEADLINE_MS, type RequestContext} from './request_context.ts';

/** How long a shadow may wait for a slot. */
const SHADOW_WAIT_MS = 1;

/** Starts the shadow of a plan, if any, in the background. */
export function runShadow(
  call: CompletionCall,
  context: RequestContext,
  plan: CompletionPlan,
): void {
  if (!plan.shadow) return;
  runVersion(call, context, plan.shadow).catch((error: Error) => {
    context.logger.error('Could not run a shadow.', {reason: error.stack});
  });
}

async function runVersion(
  call: CompletionCall,
  context: RequestContext,
  version: NonNullable<CompletionPlan['shadow']>,
): Promise<void> {
  const {customer, request} = call;
  const permit = await context.decisions.limiter.acquire({
    customer: customer.name,
    weight: customer.weight,
    pool: version.pool,
    deadlineMs: SHADOW_WAIT_MS,
    priority: -1,
  });
  if (!permit.ok) return;
  using held = permit.value;
  const startedAt = context.clock.monotonic();
  const requestId = createIdentifier('shadow');
  const name = formatVersion(version);
  const record = context.history.begin({
    requestId,
    gateway: context.gateway,
    customer: customer.name,
    kind: 'completion',
    wanted: request.model,
    receivedAtMs: context.clock.now(),
  });
  record.reasons = [`shadow of ${call.requestId}`];
  const run = new AnswerRun({
    context,
    record,
    customer: customer.name,
    request,
    version,
    deadline: createDeadline(context.clock, DEFAULT_DEADLINE_MS),
    permit: held,
    route: {pool: version.pool, version: name},
    relayed: false,
    getElapsedMs: () => context.clock.monotonic() - startedAt,
  });
  for await (const event of run.stream(new AbortController().signal)) {
    record.outcome = event.ok ? 'answered' : 'unknown';
    if (!event.ok) return;
  }
  context.observer.observeAnswer({
    requestId,
    customer: customer.name,
    requestClass: call.requestClass ?? 'default',
    version: name,
    prompt: request.messages,
    answer: run.answer,
    released: false,
  });
}
