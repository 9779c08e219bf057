/** Translates between headers on the wire and what they say. */
import type {
  AnswerFacts,
  AttemptOptions,
  Call,
  CallFacts,
  Header,
} from '../../coordination/forwarding/call.ts';

/** Looks up a header by its name in any case; `null` when it is missing. */
export type FindHeader = (name: string) => string | null;

/** The names and formats of headers towards callers and endpoints. */
export interface CallCodec {
  /** Headers of answers, in lower case, that are meant for the gateway only. */
  readonly gatewayOnlyAnswerHeaders: ReadonlySet<string>;
  /** Reads what a caller's headers say. */
  decodeCall(find: FindHeader): CallFacts;
  /** Makes the headers of one attempt out of the caller's end-to-end ones. */
  encodeAttempt(call: Call, options: AttemptOptions): Header[];
  /** Reads what the headers of an endpoint's answer say. */
  decodeAnswer(status: number, find: FindHeader): AnswerFacts;
}
