/** Runs a case, writes its record and sets the exit code. */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {CannotRunError} from './site.ts';

const HELD = 0;
const BROKEN = 1;
const CANNOT_RUN = 2;

/** Collects the lines of `record.txt`. */
export class Recorder {
  private readonly lines: string[] = [];
  private readonly startedAt = Date.now();

  write(...parts: readonly string[]): void {
    const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(3);
    this.lines.push(`${seconds} ${parts.join(' ')}`);
  }

  save(file: string): void {
    writeFileSync(file, `${this.lines.join('\n')}\n`);
  }
}

/** Runs a case; it resolves to whether the rule held. */
export function runCase(
  main: (recorder: Recorder, hasTrouble: boolean) => Promise<boolean>,
): void {
  const folder = process.env['CASE_FOLDER'] ?? '.';
  const hasTrouble = process.env['TROUBLE'] !== '0';
  const recorder = new Recorder();
  recorder.write(hasTrouble ? 'with the disruption' : 'without disruption');
  const finish = (code: number, result: string) => {
    recorder.write(result);
    recorder.save(join(folder, 'record.txt'));
    console.log(result);
    process.exit(code);
  };
  main(recorder, hasTrouble).then(
    held =>
      held ? finish(HELD, 'the rule held') : finish(BROKEN, 'the rule broke'),
    (error: unknown) => {
      const {message, stack} = error as Error;
      const known = error instanceof CannotRunError;
      finish(CANNOT_RUN, `could not run: ${known ? message : stack}`);
    },
  );
}
