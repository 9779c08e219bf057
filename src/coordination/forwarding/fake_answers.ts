/** Answers of fake endpoints. */
import type {
  AnswerFacts,
  AttemptOptions,
  AttemptOutcome,
  Call,
} from './call.ts';

/** The facts of an answer without any optional header. */
export const PLAIN_ANSWER: AnswerFacts = {
  attemptId: null,
  isNotRun: false,
  isSigned: true,
  load: null,
  confidence: null,
  limitPerSecond: null,
  isLeaving: false,
  quietMs: null,
};

export interface FakeAnswerOptions {
  readonly status?: number;
  readonly pieces?: readonly string[];
  /** Whether the body breaks off after the pieces. */
  readonly breaks?: boolean;
  /** Whether the body stalls after the pieces until the attempt is aborted. */
  readonly hangs?: boolean;
  readonly isStream?: boolean;
  readonly facts?: Partial<AnswerFacts>;
  /** Called when the gateway cancels the rest of the answer. */
  readonly onCancel?: () => void;
}

/** Creates the answer of a fake endpoint. */
export function createAnswer(
  call: Call,
  {signal}: AttemptOptions,
  options: FakeAnswerOptions = {},
): AttemptOutcome {
  const {status = 200, pieces = ['ok'], breaks, hangs, isStream} = options;
  async function* readPieces() {
    for (const piece of pieces) yield Buffer.from(piece);
    if (breaks) throw new Error('reset');
    if (hangs) await waitForAbort(signal);
  }
  return {
    type: 'answer',
    answer: {
      status,
      headers: isStream ? [['Content-Type', 'text/event-stream']] : [],
      facts: {
        ...PLAIN_ANSWER,
        attemptId: call.facts.attemptId,
        ...options.facts,
      },
      isDelimited: true,
      body: readPieces(),
      cancel: () => options.onCancel?.(),
    },
  };
}

/** Returns a promise that rejects when the attempt is aborted. */
export function waitForAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    const fail = () => reject(new Error('aborted'));
    if (signal.aborted) fail();
    signal.addEventListener('abort', fail);
  });
}
