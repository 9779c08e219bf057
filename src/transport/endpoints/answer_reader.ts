/**
 * Reads a stream of server-sent events as the events of one answer.
 *
 * Chunks carry their number. They are put in order and duplicates are dropped;
 * an answer with a missing chunk is a failure.
 */
import {createParser} from 'eventsource-parser';
import * as z from 'zod';
import type {AnswerEvent} from '../../protocol/completion.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {AttemptError} from '../../coordination/requests/dispatch.ts';

/** Maximum number of chunks held until an earlier one arrives. */
const MAX_REORDERED_CHUNKS = 1_024;

/**
 * Maximum number of characters that are split into lines at once. The parser may
 * search all of them for the end of each line.
 */
const MAX_FED_CHARACTERS = 1_024;

const chunkSchema = z.object({
  /** The number of the chunk within the answer, from 0. */
  offset: z.int().nonnegative().optional(),
  /** The attempt that the chunk belongs to. */
  attempt_id: z.string().optional(),
  choices: z
    .array(
      z.object({
        delta: z.object({content: z.string().nullish()}).optional(),
        finish_reason: z.string().nullish(),
      }),
    )
    .default([]),
  usage: z
    .object({
      prompt_tokens: z.int().nonnegative(),
      completion_tokens: z.int().nonnegative(),
    })
    .nullish(),
});

type Chunk = z.infer<typeof chunkSchema>;
type AnswerOutcome = Outcome<AnswerEvent, AttemptError>;

/** Decodes the bytes of one stream into events. */
export class AnswerReader {
  private readonly events: AnswerOutcome[] = [];
  private readonly reordered = new Map<number, string>();
  private readonly decoder = new TextDecoder();
  private readonly parser = createParser({
    onEvent: ({data}) => this.readEvent(data),
  });
  private finishReason = '';
  private hasEnded = false;

  /**
   * @param attemptId A chunk with another attempt id is a failure.
   * @param nextOffset The number of the first chunk to deliver.
   */
  constructor(
    private readonly attemptId: string,
    private nextOffset: number,
  ) {}

  /** True after the end event or a failure. */
  get isDone(): boolean {
    return this.hasEnded;
  }

  /** Reads bytes and returns the events that they complete. */
  read(bytes: Uint8Array): AnswerOutcome[] {
    const text = this.decoder.decode(bytes, {stream: true});
    for (let start = 0; start < text.length; start += MAX_FED_CHARACTERS) {
      this.parser.feed(text.slice(start, start + MAX_FED_CHARACTERS));
    }
    return this.events.splice(0);
  }

  private readEvent(data: string): void {
    if (this.hasEnded || data === '[DONE]') return;
    const chunk = parseChunk(data);
    if (!chunk) {
      this.end(fail({kind: 'lost', message: 'the stream is malformed'}));
      return;
    }
    if ((chunk.attempt_id ?? this.attemptId) !== this.attemptId) {
      const message = 'the stream carries another answer';
      this.end(fail({kind: 'lost', message}));
      return;
    }
    const choice = chunk.choices[0];
    const text = choice?.delta?.content ?? '';
    if (text !== '') this.readText(chunk.offset ?? this.nextOffset, text);
    this.finishReason = choice?.finish_reason ?? this.finishReason;
    if (this.finishReason !== '' && chunk.usage) this.finish(chunk.usage);
  }

  private readText(offset: number, text: string): void {
    if (offset < this.nextOffset) return;
    this.reordered.set(offset, text);
    for (;;) {
      const ready = this.reordered.get(this.nextOffset);
      if (ready === undefined) break;
      this.reordered.delete(this.nextOffset);
      this.events.push(
        succeed({type: 'delta', offset: this.nextOffset, text: ready}),
      );
      this.nextOffset++;
    }
    if (this.reordered.size <= MAX_REORDERED_CHUNKS) return;
    this.end(fail({kind: 'lost', message: 'a chunk did not come'}));
  }

  private finish(usage: NonNullable<Chunk['usage']>): void {
    if (this.reordered.size > 0) {
      this.end(fail({kind: 'lost', message: 'a chunk did not come'}));
      return;
    }
    this.end(
      succeed({
        type: 'end',
        finishReason: this.finishReason,
        usage: {
          promptTokens: usage.prompt_tokens,
          completionTokens: usage.completion_tokens,
        },
      }),
    );
  }

  private end(event: AnswerOutcome): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.events.push(event);
  }
}

function parseChunk(data: string): Chunk | null {
  try {
    return chunkSchema.parse(JSON.parse(data));
  } catch {
    return null;
  }
}
