/** Has a held answer rated and decides whether the caller gets it. */
import {formatVersion} from '../../protocol/declaration.ts';
import type {PlanStep} from '../routing/completion_plan.ts';
import type {CompletionCall} from './admission.ts';
import type {AnswerRun} from './answer_run.ts';
import type {Deadline} from './deadline.ts';
import type {RequestContext} from './request_context.ts';
import type {RequestRecord} from './request_history.ts';

export interface RateHeldAnswerOptions {
  readonly call: CompletionCall;
  readonly context: RequestContext;
  /** Receives the rating. */
  readonly record: RequestRecord;
  readonly deadline: Deadline;
  readonly step: PlanStep;
  /** The run whose answer is complete. */
  readonly run: AnswerRun;
}

/** Rates an answer by the bound of its step; returns whether it is released. */
export async function rateHeldAnswer(
  options: RateHeldAnswerOptions,
): Promise<boolean> {
  const {call, context, record, deadline, step, run} = options;
  const version = formatVersion(step.version);
  const request = {
    requestId: call.requestId,
    customer: call.customer.name,
    requestClass: call.requestClass ?? 'default',
    version,
    prompt: call.request.messages,
    answer: run.answer,
  };
  const rated = await context.rate({
    ...request,
    deadlineMs: deadline.remainingMs(),
  });
  const released = rated.ok
    ? rated.value >= step.minimumScore
    : step.whenUnrated === 'release';
  const score = rated.ok ? rated.value : null;
  record.ratings.push({version, score, released});
  context.logger.info('Rates a held answer.', {
    request: call.requestId,
    version,
    score,
    minimumScore: step.minimumScore,
    released,
    reason: rated.ok ? 'its score' : rated.error,
  });
  if (!released) {
    context.observer.observeAnswer({
      ...request,
      released,
      score: score ?? undefined,
    });
  }
  return released;
}
