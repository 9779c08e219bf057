/** Checks of what the callers received. */
import type {CallRecord, RunRecord} from '../records/call_record.ts';
import {createExpectedWords} from '../records/expected_answer.ts';

/** Lists the answers that are not whole, or belong to another request. */
export function checkAnswers(
  calls: readonly CallRecord[],
  runs: readonly RunRecord[],
  words: number,
): string[] {
  const answers = new Map<string, Set<string>>();
  for (const run of runs.filter(each => each.kind === 'call')) {
    const key = `${run.customer}/${run.key}`;
    const known = answers.get(key) ?? new Set();
    answers.set(key, known.add(run.answer));
  }
  return calls
    .filter(call => call.outcome === 'answered')
    .filter(call => {
      if (call.kind === 'call') {
        return !answers.get(`${call.customer}/${call.key}`)?.has(call.text);
      }
      const expected = createExpectedWords(call.content, call.version, words);
      return call.text !== expected.join('');
    })
    .map(call => `${call.requestId} got "${call.text.slice(0, 60)}"`);
}

/** Lists the parts of answers that are no beginning of the right one. */
export function checkPartialAnswers(
  calls: readonly CallRecord[],
  words: number,
): string[] {
  return calls
    .filter(call => call.kind === 'completion' && call.text !== '')
    .filter(call => {
      const expected = createExpectedWords(call.content, call.version, words);
      return !expected.join('').startsWith(call.text);
    })
    .map(call => `${call.requestId} got a wrong part "${call.text}"`);
}

/** Lists the sessions that changed their version without being told. */
export function checkSessions(calls: readonly CallRecord[]): string[] {
  const versions = new Map<string, string>();
  const violations: string[] = [];
  const answered = calls
    .filter(call => call.session !== undefined && call.version !== '')
    .sort((a, b) => a.startedAtMs - b.startedAtMs);
  for (const call of answered) {
    const id = `${call.customer}/${call.session}`;
    const previous = versions.get(id);
    if (previous !== undefined && previous !== call.version && !call.moved) {
      violations.push(`${id} went from ${previous} to ${call.version}`);
    }
    versions.set(id, call.version);
  }
  return violations;
}

/** A graceful shutdown of one gateway. */
export interface Shutdown {
  readonly gateway: string;
  /** When the signal was sent. */
  readonly atMs: number;
  /** When the process had ended. */
  readonly endedAtMs: number;
}

/**
 * How soon a caller notes that the test itself reset its connection: the way
 * through the event loop of the test, when it is busy.
 */
const RESET_DETECTION_MS = 250;

/**
 * Lists the requests that a graceful shutdown cut off.
 *
 * @param resets When the test itself reset all connections of callers.
 */
export function checkShutdowns(
  calls: readonly CallRecord[],
  shutdowns: readonly Shutdown[],
  resets: readonly number[] = [],
): string[] {
  const isReset = ({startedAtMs, endedAtMs}: CallRecord) =>
    resets.some(
      atMs =>
        startedAtMs <= atMs &&
        endedAtMs >= atMs &&
        endedAtMs <= atMs + RESET_DETECTION_MS,
    );
  return shutdowns.flatMap(shutdown =>
    calls
      .filter(call => call.gateway === shutdown.gateway)
      .filter(call => call.startedAtMs < shutdown.endedAtMs)
      .filter(call => call.endedAtMs >= shutdown.atMs)
      .filter(call => call.outcome !== 'answered' && call.outcome !== 'not-run')
      .filter(call => !isReset(call))
      // A connection that opened too late never became a request.
      .filter(call => call.startedAtMs < shutdown.atMs || call.status !== 0)
      .map(call => `${call.gateway} cut off ${call.requestId || call.key}`),
  );
}
