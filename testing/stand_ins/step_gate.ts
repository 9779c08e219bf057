/** Lets a test hold runs at a step until it releases them. */
import type {IncomingMessage, ServerResponse} from 'node:http';

/** The steps of a run at which it can be held. */
export type RunStep = 'dispatched' | 'first-byte' | 'mid-stream' | 'answered';

/** Holds runs at one step at a time. */
export class StepGate {
  private step: RunStep | null = null;
  private waiting: Array<() => void> = [];

  /** Waits until the test releases `step`, if runs are held there. */
  async waitAt(step: RunStep): Promise<void> {
    if (step !== this.step) return;
    await new Promise<void>(resolve => this.waiting.push(resolve));
  }

  /** `GET /held`: the number of held runs. */
  readonly handleHeld = (
    _request: IncomingMessage,
    response: ServerResponse,
  ): void => {
    response.end(JSON.stringify({held: this.waiting.length}));
  };

  /** `POST /hold?STEP` holds runs, `POST /hold?` releases them. */
  readonly handleHold = (
    request: IncomingMessage,
    response: ServerResponse,
  ): void => {
    const step = request.url?.split('?')[1] ?? '';
    this.step = step === '' ? null : (step as RunStep);
    for (const release of this.waiting.splice(0)) release();
    response.end('{}');
  };
}
