/** Computes the figures of one phase from the callers' records. */
import {build} from 'hdr-histogram-js';
import type {CallRecord} from '../../testing/records/call_record.ts';

export interface PhaseFigures {
  readonly phase: string;
  readonly seconds: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly noReply: number;
  /** Time to first token of streams, in milliseconds. */
  readonly firstTokenP50: number;
  readonly firstTokenP95: number;
  /** The longest time without an answer to any caller. */
  readonly longestGapMs: number;
}

/** Computes the figures of the requests that ended during the phase. */
export function computeFigures(
  phase: string,
  calls: readonly CallRecord[],
  fromMs: number,
  untilMs: number,
): PhaseFigures {
  const ended = calls.filter(
    call => call.endedAtMs >= fromMs && call.endedAtMs < untilMs,
  );
  const count = (outcome: CallRecord['outcome']) =>
    ended.filter(call => call.outcome === outcome).length;
  const firstToken = build();
  for (const call of ended) {
    if (call.firstTokenAtMs === undefined) continue;
    firstToken.recordValue(call.firstTokenAtMs - call.startedAtMs);
  }
  return {
    phase,
    seconds: (untilMs - fromMs) / 1_000,
    answered: count('answered'),
    notRun: count('not-run'),
    unknown: count('unknown'),
    noReply: count('no-reply'),
    firstTokenP50: firstToken.getValueAtPercentile(50),
    firstTokenP95: firstToken.getValueAtPercentile(95),
    longestGapMs: findLongestGap(ended, fromMs, untilMs),
  };
}

function findLongestGap(
  calls: readonly CallRecord[],
  fromMs: number,
  untilMs: number,
): number {
  const times = calls
    .filter(call => call.outcome === 'answered')
    .map(call => call.endedAtMs)
    .sort((a, b) => a - b);
  const boundaries = [fromMs, ...times, untilMs];
  return Math.max(
    ...boundaries
      .slice(1)
      .map((time, index) => time - (boundaries[index] ?? time)),
  );
}

/** Formats the figures as a Markdown table. */
export function formatFigures(all: readonly PhaseFigures[]): string {
  const head =
    '| phase | s | answered | not-run | unknown | no reply | ' +
    'first token p50 ms | p95 ms | longest time without an answer ms |';
  const rows = all.map(each =>
    [
      '',
      each.phase,
      each.seconds.toFixed(0),
      each.answered,
      each.notRun,
      each.unknown,
      each.noReply,
      each.firstTokenP50,
      each.firstTokenP95,
      each.longestGapMs,
      '',
    ]
      .join(' | ')
      .trim(),
  );
  return [head, '|---|---|---|---|---|---|---|---|---|', ...rows].join('\n');
}
