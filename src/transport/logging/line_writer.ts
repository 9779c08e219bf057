/**
 * Writes log lines without blocking the event loop.
 *
 * A write to a pipe that is full and not read blocks. One write at a time runs
 * on Node's thread pool; meanwhile, lines are queued up to a limit, beyond
 * which they are dropped and counted.
 */
import {write, writeSync} from 'node:fs';

/** Maximum number of queued characters. */
const MAX_QUEUED_CHARACTERS = 1024 * 1024;

export interface LineWriterOptions {
  /** Writes `text`, then calls `done`; takes precedence over `fd`. */
  readonly write?: (text: string, done: () => void) => void;
  /** The file descriptor to write to; standard error by default. */
  readonly fd?: number;
  readonly maxQueuedCharacters?: number;
}

/** Queues lines and writes them in the background. */
export class LineWriter {
  private queue: string[] = [];
  private queuedCharacters = 0;
  private dropped = 0;
  private isScheduled = false;
  /** True while a write system call is in progress. */
  private isWriting = false;

  constructor(private readonly options: LineWriterOptions = {}) {}

  /** Queues a line, given without a line terminator. */
  add(line: string): void {
    const {maxQueuedCharacters = MAX_QUEUED_CHARACTERS} = this.options;
    if (this.queuedCharacters + line.length > maxQueuedCharacters) {
      this.dropped++;
      return;
    }
    this.queue.push(line);
    this.queuedCharacters += line.length;
    if (!this.isScheduled) this.writeNext();
  }

  /** Writes the queue synchronously at exit, unless a write is in progress. */
  flush(): void {
    if (this.isWriting || this.queue.length === 0) return;
    writeSync(this.fd, this.takeQueue());
  }

  private get fd(): number {
    return this.options.fd ?? process.stderr.fd;
  }

  private writeNext(): void {
    const {fd} = this;
    const {
      write: writeText = (text: string, done: () => void) =>
        writeToDescriptor(fd, text, done),
    } = this.options;
    this.isScheduled = true;
    // Lines of the same turn of the event loop are written together.
    setImmediate(() => {
      this.isWriting = true;
      writeText(this.takeQueue(), () => {
        this.isWriting = false;
        this.isScheduled = false;
        if (this.queue.length > 0) this.writeNext();
      });
    });
  }

  private takeQueue(): string {
    const lines = this.queue;
    if (this.dropped > 0) lines.push(`Dropped ${this.dropped} log lines.`);
    this.queue = [];
    this.queuedCharacters = 0;
    this.dropped = 0;
    return `${lines.join('\n')}\n`;
  }
}

/** Writes all of `text`; stops on an error, which cannot be reported. */
function writeToDescriptor(fd: number, text: string, done: () => void): void {
  const bytes = Buffer.from(text);
  const writeFrom = (start: number) => {
    write(fd, bytes, start, (error, written) => {
      const next = start + written;
      if (error && error.code === 'EAGAIN') setTimeout(writeFrom, 10, start);
      else if (error || next >= bytes.length) done();
      else writeFrom(next);
    });
  };
  writeFrom(0);
}
