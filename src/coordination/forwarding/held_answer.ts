/**
 * An answer that is held while a larger model is asked.
 *
 * Its body is buffered meanwhile, so that it can be delivered at once when the
 * larger model does not begin in time. Dispose it when it is not needed any
 * more: this cancels it at the endpoint.
 */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {EndedAnswerError} from './answer_budget.ts';
import type {EndpointAnswer} from './call.ts';
import type {CrashWatch} from '../quarantine/crash_watch.ts';

/** The maximum size of a buffered answer; a larger one counts as broken. */
export const MAX_HELD_BYTES = 4 * 1024 * 1024;

export interface HeldAnswerOptions {
  readonly answer: EndpointAnswer;
  readonly endpoint: EndpointEntry;
  /** The model that made it; `null` when the caller chose it. */
  readonly model: string | null;
  /** Disposed when the answer is complete, broken or discarded. */
  readonly open: Disposable;
  /** Watches what the rest of the answer shows of its prompt. */
  readonly watch: CrashWatch;
}

export class HeldAnswer implements Disposable {
  private readonly pieces: Uint8Array[] = [];
  private bytes = 0;
  private isComplete = false;
  private error: Error | null = null;
  private notifyReader = () => {};

  constructor(private readonly options: HeldAnswerOptions) {
    void this.fill();
  }

  get endpoint(): EndpointEntry {
    return this.options.endpoint;
  }

  get model(): string | null {
    return this.options.model;
  }

  /** The bytes of its body that have arrived. */
  get size(): number {
    return this.bytes;
  }

  /** Whether it broke off, was too large or was discarded. */
  get isBroken(): boolean {
    return this.error !== null;
  }

  /** Returns the answer from its beginning; its body can be read once. */
  createAnswer(): EndpointAnswer {
    const {memory: _memory, ...answer} = this.options.answer;
    return {...answer, body: this.read()};
  }

  [Symbol.dispose](): void {
    this.options.answer.memory?.release();
    if (this.isComplete || this.error) return;
    this.end(new Error('the held answer was discarded'));
    this.options.answer.cancel();
  }

  private async fill(): Promise<void> {
    const {answer, watch} = this.options;
    try {
      for await (const piece of answer.body) {
        if (this.error) return;
        watch.recordProgress();
        this.pieces.push(piece);
        this.bytes += piece.length;
        if (this.bytes > MAX_HELD_BYTES) {
          this.end(
            new Error('the answer exceeds the size limit of held answers'),
          );
          answer.cancel();
          return;
        }
        answer.memory?.keep(this.bytes);
        this.notifyReader();
      }
      if (!this.error) watch.recordEnd(answer);
      this.end(null);
    } catch (error) {
      const isEnded = error instanceof EndedAnswerError;
      if (!this.error && !isEnded) watch.recordDisconnect();
      this.end(error as Error);
    }
  }

  private end(error: Error | null): void {
    if (this.isComplete || this.error) return;
    this.error = error;
    this.isComplete = error === null;
    this.options.open[Symbol.dispose]();
    this.notifyReader();
  }

  private async *read(): AsyncGenerator<Uint8Array> {
    for (let next = 0; ;) {
      const piece = this.pieces[next];
      if (piece) {
        next++;
        yield piece;
        continue;
      }
      if (this.error) throw this.error;
      if (this.isComplete) return;
      await new Promise<void>(resolve => (this.notifyReader = resolve));
    }
  }
}
