/** Runs a child process of a test and collects its output. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';

/** The running children; they are killed when this process exits. */
const children = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => {
    // A program with its own signal handler stops its children itself.
    if (process.listenerCount(signal) === 0) process.exit(1);
  });
}

/** A child process that a test controls. */
export class TestProcess implements AsyncDisposable {
  private child: ChildProcess | null = null;
  private lines: string[] = [];

  constructor(
    readonly name: string,
    private readonly command: readonly string[],
  ) {}

  /** The lines of stdout and stderr so far, across restarts. */
  get log(): readonly string[] {
    return this.lines;
  }

  get running(): boolean {
    return this.child !== null && this.child.exitCode === null;
  }

  get pid(): number | undefined {
    return this.child?.pid;
  }

  start(): void {
    const [program, ...args] = this.command;
    if (!program) throw new Error('Could not start: no program is given');
    const child = spawn(program, args, {stdio: ['ignore', 'pipe', 'pipe']});
    this.child = child;
    children.add(child);
    child.once('exit', () => children.delete(child));
    child.stdout.on('data', (data: Buffer) => this.addLines(data));
    child.stderr.on('data', (data: Buffer) => this.addLines(data));
  }

  /** Sends a signal, such as `SIGSTOP` to suspend or `SIGCONT` to resume. */
  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Suspends the process with SIGSTOP; disposing the result resumes it. */
  suspend(): Disposable {
    const {child} = this;
    child?.kill('SIGSTOP');
    return {[Symbol.dispose]: () => child?.kill('SIGCONT')};
  }

  /** Kills the process with SIGKILL. */
  async kill(): Promise<void> {
    await this.end('SIGKILL');
  }

  /** Sends SIGTERM and waits for the exit; returns the exit code. */
  async stop(): Promise<number | null> {
    return this.end('SIGTERM');
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.kill();
  }

  private async end(signal: NodeJS.Signals): Promise<number | null> {
    const child = this.child;
    if (!child || child.exitCode !== null || child.signalCode !== null) {
      return child?.exitCode ?? null;
    }
    const exited = once(child, 'exit');
    child.kill(signal);
    await exited;
    return child.exitCode;
  }

  private addLines(data: Buffer): void {
    this.lines.push(...data.toString('utf8').split('\n').filter(Boolean));
  }
}
