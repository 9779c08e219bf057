/** Appends each run of a stand-in to a file, so that a kill loses none. */
import {appendFileSync, existsSync, readFileSync} from 'node:fs';
import type {RunRecord} from '../records/call_record.ts';

/** Records the runs of one stand-in. */
export class RunRecorder {
  readonly runs: RunRecord[] = [];

  constructor(private readonly file: string | undefined) {}

  /** Records the start of a run. */
  begin(run: RunRecord): RunRecord {
    this.runs.push(run);
    this.write(run);
    return run;
  }

  /** Records that a run finished. */
  finish(run: RunRecord): void {
    run.finished = true;
    this.write(run);
  }

  private write(run: RunRecord): void {
    if (this.file) appendFileSync(this.file, `${JSON.stringify(run)}\n`);
  }
}

/** Reads the runs that a stand-in recorded, across restarts. */
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
