/** Converts between HTTP headers and their decoded values. */
import type {
  AnswerFacts,
  AttemptOptions,
  Call,
  CallFacts,
  Header,
} from '../../coordination/forwarding/call.ts';

/** Finds a header by its case-insensitive name; `null` if it is missing. */
export type FindHeader = (name: string) => string | null;

/** Defines the headers exchanged with callers and endpoints. */
export interface CallCodec {
  /** Lower-case names of answer headers that are not forwarded to callers. */
  readonly gatewayOnlyAnswerHeaders: ReadonlySet<string>;
  /** Decodes the headers of a caller's request. */
  decodeCall(find: FindHeader): CallFacts;
  /** Creates an attempt's headers from the caller's end-to-end headers. */
  encodeAttempt(call: Call, options: AttemptOptions): Header[];
  /** Decodes the headers of an endpoint's answer. */
  decodeAnswer(status: number, find: FindHeader): AnswerFacts;
}

/** Defines the headers exchanged with other gateways. */
export interface RelayCodec {
  /**
   * Creates the headers with which another gateway gets a caller's request.
   *
   * @param budgetMs What is left of its time, in ms.
   */
  encodeRelayed(call: Call, budgetMs: number): Header[];
}
