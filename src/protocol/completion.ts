/** Chat completions as callers send them, and what the system answers. */
import * as z from 'zod';

/** A request in the usual OpenAI form. Unknown fields pass through. */
export const completionRequestSchema = z.looseObject({
  model: z.string().min(1),
  messages: z
    .array(z.looseObject({role: z.string(), content: z.unknown()}))
    .min(1),
  stream: z
    .boolean()
    .nullish()
    .transform(value => value ?? false),
  stream_options: z
    .looseObject({include_usage: z.boolean().nullish()})
    .nullish(),
  /** The number of answers; only one is given. */
  n: z.literal(1, {message: 'only one answer is given'}).nullish(),
  max_tokens: z.int().positive().optional(),
});

export type CompletionRequest = z.infer<typeof completionRequestSchema>;

export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** One event of an answer that is being generated. */
export type AnswerEvent =
  | {
      readonly type: 'delta';
      /** The number of the chunk within the answer, from 0. */
      readonly offset: number;
      readonly text: string;
    }
  | {
      readonly type: 'end';
      readonly finishReason: string;
      readonly usage: Usage;
    };

/** Whether the system may have run a request. */
export type RequestOutcome = 'answered' | 'not-run' | 'unknown';

/** Why a request was not answered, as the caller is told. */
export interface RequestError {
  readonly outcome: Exclude<RequestOutcome, 'answered'>;
  /** A fixed word for programs, such as `pool-unavailable`. */
  readonly code: string;
  /** A sentence for people. */
  readonly message: string;
  /** The HTTP status. */
  readonly status: number;
  /** When to come back; absent where a retry cannot help. */
  readonly retryAfterMs?: number;
}
