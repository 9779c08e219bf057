/** Writes down each run of a stand-in, so that a kill loses none. */
import {appendFileSync, existsSync, readFileSync} from 'node:fs';
import type {RunRecord} from '../records/call_record.ts';

/** Keeps the runs of one stand-in. */
export class RunRecorder {
  readonly runs: RunRecord[] = [];

  constructor(private readonly file: string | undefined) {}

  /** Notes that a run began. */
  begin(run: RunRecord): RunRecord {
    this.runs.push(run);
    this.write(run);
    return run;
  }

  /** Notes that a run came to its end. */
  finish(run: RunRecord): void {
    run.finished = true;
    this.write(run);
  }

  private write(run: RunRecord): void {
    if (this.file) appendFileSync(this.file, `${JSON.stringify(run)}\n`);
  }
}

/** Reads the runs that a stand-in wrote down in all its lives. */
export function readRunRecords(file: string): RunRecord[] {
  if (!existsSync(file)) return [];
  const byAttempt = new Map<string, RunRecord>();
  for (const line of readFileSync(file, 'utf8').split('\n')) {
    if (line === '') continue;
    const run = JSON.parse(line) as RunRecord;
    byAttempt.set(`${run.attemptId}/${run.startedAtMs}`, run);
  }
  return [...byAttempt.values()];
}
