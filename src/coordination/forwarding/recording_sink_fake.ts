/** A fake of the caller's side of a request, for tests. */
import type {CallerSink, Header} from './call.ts';

/** A sink that records the answer. */
export class RecordingSink implements CallerSink {
  hasBegun = false;
  status = 0;
  headers: readonly Header[] = [];
  text = '';
  /** `null` until the answer ends. */
  outcome: 'whole' | 'cut' | null = null;

  answer(status: number, headers: readonly Header[], body: Uint8Array): void {
    this.begin(status, headers);
    this.text = Buffer.from(body).toString();
    this.end();
  }

  begin(status: number, headers: readonly Header[]): void {
    this.hasBegun = true;
    this.status = status;
    this.headers = headers;
  }

  async write(bytes: Uint8Array): Promise<void> {
    this.text += Buffer.from(bytes).toString();
  }

  end(): void {
    this.outcome = 'whole';
  }

  abort(): void {
    this.hasBegun = true;
    this.outcome = 'cut';
  }
}
