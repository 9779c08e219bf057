/**
 * Writes log lines without ever waiting for whoever reads them.
 *
 * A write to a pipe that nobody empties blocks. One write at a time is given
 * to a thread of Node's pool; lines gather meanwhile, up to a bound beyond
 * which they are dropped and counted.
 */
import {write, writeSync} from 'node:fs';

/** The most text that waits to be written, in characters. */
const MAX_QUEUED_CHARACTERS = 1024 * 1024;

export interface LineWriterOptions {
  /** Writes `text` and calls back; goes before `fd`. */
  readonly write?: (text: string, done: () => void) => void;
  /** The descriptor that is written to; standard error by default. */
  readonly fd?: number;
  readonly maxQueuedCharacters?: number;
}

/** Takes lines, and writes those that it can. */
export class LineWriter {
  private queue: string[] = [];
  private queuedCharacters = 0;
  private dropped = 0;
  private isScheduled = false;
  /** True while a write is with the operating system. */
  private isWriting = false;

  constructor(private readonly options: LineWriterOptions = {}) {}

  /** Adds a line, without its end. */
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

  /** Writes what waits before the process ends, unless a write is stuck. */
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
    // Lines of the same turn go out together.
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

/** Writes all of `text`; an error ends it, since there is no one to tell. */
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
