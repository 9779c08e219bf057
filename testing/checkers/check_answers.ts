/** Checks the replies that callers received. */
import type {CallRecord, RunRecord} from '../records/call_record.ts';
import {createExpectedWords} from '../records/expected_answer.ts';

/** Lists answers that are incomplete or belong to another request. */
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
    .map(
      call =>
        `${call.requestId} got an unexpected answer "${call.text.slice(0, 60)}"`,
    );
}

/** Lists partial answers that are not a prefix of the expected answer. */
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
    .map(
      call =>
        `${call.requestId} got an unexpected partial answer "${call.text}"`,
    );
}

/** Lists sessions that changed version without a reported move. */
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
      violations.push(
        `${id} changed from ${previous} to ${call.version} without a move`,
      );
    }
    versions.set(id, call.version);
  }
  return violations;
}

/** A graceful shutdown of one gateway. */
export interface Shutdown {
  readonly gateway: string;
  /** When SIGTERM was sent. */
  readonly atMs: number;
  /** When the process had exited. */
  readonly endedAtMs: number;
}

/**
 * The time within which a caller detects that the test reset its connection.
 * It allows for delays in a busy event loop of the test.
 */
const RESET_DETECTION_MS = 250;

/**
 * Lists requests that a graceful shutdown aborted.
 *
 * @param resets Times at which the test itself reset callers' connections.
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
      // Started after the signal and got no headers: it was never accepted.
      .filter(call => call.startedAtMs < shutdown.atMs || call.status !== 0)
      .map(call => `${call.gateway} aborted ${call.requestId || call.key}`),
  );
}
