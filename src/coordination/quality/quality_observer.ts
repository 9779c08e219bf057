/** Sends a sample of answers to the rating service and records the scores. */
import type {ControlView} from '../../protocol/control.ts';
import {formatVersion} from '../../protocol/declaration.ts';
import type {RateAnswer} from '../requests/request_context.ts';
import type {
  AnswerObservation,
  RequestObserver,
} from '../requests/request_observer.ts';
import type {QualityTable} from './quality_table.ts';
import type {RatingSampler} from './rating_sampler.ts';
import {formatClassBucket} from './class_bucket.ts';

export interface QualityObserverOptions {
  readonly table: QualityTable;
  readonly sampler: RatingSampler;
  readonly rate: RateAnswer;
  readonly getView: () => ControlView | null;
  /** Whether the rating service is available. */
  readonly isAvailable: () => boolean;
  /** Called with each score, except of answers that were rated before. */
  readonly onRating?: (version: string, score: number) => void;
}

/** The deadline of a rating outside the request path. */
const RATING_DEADLINE_MS = 30_000;

/** The approximate number of characters in a token. */
const CHARACTERS_PER_TOKEN = 4;

/** Creates the observer that records ratings in the quality table. */
export function createQualityObserver(
  options: QualityObserverOptions,
): RequestObserver {
  return {
    observeAttempt() {},
    observeStall() {},
    observeRequest() {},
    observeAnswer(answer) {
      void observeAnswer(answer, options);
    },
  };
}

async function observeAnswer(
  answer: AnswerObservation,
  options: QualityObserverOptions,
): Promise<void> {
  const {version} = answer;
  const requestClass = formatClassBucket(
    answer.requestClass,
    estimateTokens(answer.prompt),
  );
  if (answer.score !== undefined) {
    options.table.record({version, requestClass, score: answer.score});
    return;
  }
  if (!options.isAvailable() || !shouldRate(answer, options)) return;
  const rated = await options.rate({
    requestId: answer.requestId,
    customer: answer.customer,
    requestClass: answer.requestClass,
    version,
    prompt: answer.prompt,
    answer: answer.answer,
    deadlineMs: RATING_DEADLINE_MS,
  });
  if (!rated.ok) return;
  options.table.record({version, requestClass, score: rated.value});
  options.onRating?.(version, rated.value);
}

/** Whether the sampler selects this answer. */
function shouldRate(
  {version, requestClass}: AnswerObservation,
  {table, sampler, getView}: QualityObserverOptions,
): boolean {
  const view = getView();
  const declared = view?.declaration?.versions.find(
    each => formatVersion(each) === version,
  );
  if (!view || !declared) return false;
  const isCandidate = view.rollouts.some(
    each =>
      each.status === 'running' && `${each.model}/${each.version}` === version,
  );
  return sampler.shouldRate(
    table.estimate(declared, requestClass),
    isCandidate,
  );
}

function estimateTokens(prompt: unknown): number {
  if (!Array.isArray(prompt)) return 0;
  const messages = prompt as ReadonlyArray<{readonly content?: unknown}>;
  const characters = messages.reduce(
    (sum, {content}) =>
      sum + (typeof content === 'string' ? content.length : 0),
    0,
  );
  return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}
