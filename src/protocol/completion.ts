/** Chat completion requests of callers, and the events of their answers. */
import * as z from 'zod';
import {createStrictList} from './strict_list.ts';

const NO_MESSAGE = 'expected at least one message';

/** A request in the OpenAI format. Unknown fields are passed through. */
export const completionRequestSchema = z.looseObject({
  model: z.string().min(1),
  messages: createStrictList(
    z.looseObject({role: z.string(), content: z.unknown()}),
  ).refine(messages => messages.length > 0, {message: NO_MESSAGE}),
  stream: z
    .boolean()
    .nullish()
    .transform(value => value ?? false),
  stream_options: z
    .looseObject({include_usage: z.boolean().nullish()})
    .nullish(),
  /** The number of answers; only one is supported. */
  n: z.literal(1, {message: 'only one answer is given'}).nullish(),
  max_tokens: z.int().positive().optional(),
});

export type CompletionRequest = z.infer<typeof completionRequestSchema>;

export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** An event of a streamed answer. */
export type AnswerEvent =
  | {
      readonly type: 'delta';
      /** The index of the chunk within the answer, from 0. */
      readonly offset: number;
      readonly text: string;
    }
  | {
      readonly type: 'end';
      readonly finishReason: string;
      readonly usage: Usage;
    };

/** Whether a request was executed, as far as the system knows. */
export type RequestOutcome = 'answered' | 'not-run' | 'unknown';

/** The error that a caller receives for an unanswered request. */
export interface RequestError {
  readonly outcome: Exclude<RequestOutcome, 'answered'>;
  /** A stable code for programs, such as `pool-unavailable`. */
  readonly code: string;
  /** A human-readable message. */
  readonly message: string;
  /** The HTTP status code. */
  readonly status: number;
  /** When to retry; absent if a retry cannot help. */
  readonly retryAfterMs?: number;
}
