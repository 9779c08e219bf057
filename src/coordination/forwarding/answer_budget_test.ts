import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {AnswerBudget, EndedAnswerError} from './answer_budget.ts';
import type {EndpointAnswer} from './call.ts';
import {PLAIN_ANSWER} from './fake_answers.ts';

const PIECE_BYTES = 16 * 1024;
const MIB = 1024 * 1024;

/** A gateway that reads answers of a number of pieces as a whole. */
class Reader {
  readonly clock = new SimulatedClock();
  readonly cancelled: string[] = [];
  /** What all answers keep, as the readers count it. */
  keptBytes = 0;
  mostKeptBytes = 0;
  /** What was received of answers that are still open. */
  receivedBytes = 0;
  mostReceivedBytes = 0;
  private readonly budget;

  constructor(
    maxKeptBytes: number,
    private readonly pieceBytes = PIECE_BYTES,
  ) {
    this.budget = new AnswerBudget({
      clock: this.clock,
      logger: silentLogger,
      metrics: silentMetrics,
      maxKeptBytes,
    });
  }

  /** Reads an answer; resolves to the error that ended it, if any. */
  async read(
    endpoint: string,
    pieces: number,
    signal = new AbortController().signal,
  ): Promise<Error | null> {
    const answer = this.createAnswer(endpoint, pieces, signal);
    let size = 0;
    try {
      for await (const piece of answer.body) {
        answer.memory?.keep(size + piece.length);
        size += piece.length;
        this.keptBytes += piece.length;
        this.mostKeptBytes = Math.max(this.mostKeptBytes, this.keptBytes);
      }
      return null;
    } catch (error) {
      return error as Error;
    } finally {
      this.keptBytes -= size;
      answer.memory?.release();
    }
  }

  private createAnswer(
    endpoint: string,
    pieces: number,
    signal: AbortSignal,
  ): EndpointAnswer {
    const produce = () => this.produce(pieces);
    const outcome = this.budget.admit(
      {endpoint, signal},
      {
        type: 'answer',
        answer: {
          status: 200,
          headers: [],
          facts: PLAIN_ANSWER,
          isDelimited: true,
          body: produce(),
          cancel: () => void this.cancelled.push(endpoint),
        },
      },
    );
    assert.equal(outcome.type, 'answer');
    if (outcome.type !== 'answer') throw new Error('unreachable');
    return outcome.answer;
  }

  private async *produce(pieces: number): AsyncGenerator<Buffer> {
    let size = 0;
    try {
      for (let index = 0; index < pieces; index++) {
        await this.clock.sleep(0.1);
        size += this.pieceBytes;
        this.receivedBytes += this.pieceBytes;
        this.mostReceivedBytes = Math.max(
          this.mostReceivedBytes,
          this.receivedBytes,
        );
        yield Buffer.alloc(this.pieceBytes);
      }
    } finally {
      this.receivedBytes -= size;
    }
  }
}

// Guards against a gateway that runs out of memory by many answers without end, each
// of which is within its own bound.
test('the largest answers are ended once all are too large together', async () => {
  const reader = new Reader(8 * MIB);
  const endless = Array.from({length: 100}, (_, index) =>
    reader.read(`faulty-${index}`, 10_000),
  );
  const sound: Array<Error | null> = [];
  for (let index = 0; index < 50; index++) {
    void reader.read('sound', 2).then(error => sound.push(error));
  }
  await reader.clock.advance(30_000);
  assert.deepEqual(
    sound,
    Array.from({length: 50}, () => null),
  );
  assert.ok(reader.mostKeptBytes <= 8.5 * MIB, `${reader.mostKeptBytes}`);
  assert.ok(reader.cancelled.length >= 90, `${reader.cancelled.length}`);
  void endless;
});

// Guards against a gateway that runs out of memory by the pieces of many answers that
// all wait for the pace.
test('pieces that wait for the pace count as kept', async () => {
  const reader = new Reader(8 * MIB, 64 * 1024);
  for (let index = 0; index < 400; index++) {
    void reader.read(`faulty-${index}`, 10_000);
  }
  await reader.clock.advance(4_000);
  assert.ok(
    reader.mostReceivedBytes <= 8.5 * MIB,
    `${reader.mostReceivedBytes}`,
  );
});

// Guards against attempts that end seconds after they were aborted, so that their
// requests are answered after the deadline.
test('an answer that waits for the pace ends when its attempt is aborted', async () => {
  const reader = new Reader(1_000 * MIB, MIB);
  const controllers = Array.from({length: 20}, () => new AbortController());
  const results: Array<Error | null> = [];
  for (const controller of controllers) {
    void reader
      .read('faulty', 10_000, controller.signal)
      .then(error => results.push(error));
  }
  await reader.clock.advance(1_000);
  assert.equal(results.length, 0);
  for (const controller of controllers) controller.abort('deadline');
  await reader.clock.advance(1);
  assert.equal(results.length, 20);
  assert.ok(results.every(each => each !== null));
  assert.equal(reader.receivedBytes, 0);
  // What the aborted ones did not read is no one's turn.
  let isRead = false;
  void reader.read('sound', 1).then(error => (isRead = error === null));
  await reader.clock.advance(5_500);
  assert.ok(isRead);
});

test('an answer that is ended says so', async () => {
  const reader = new Reader(MIB);
  let result: Error | null = null;
  void reader.read('faulty', 1_000).then(error => (result = error));
  await reader.clock.advance(5_000);
  assert.ok((result as Error | null) instanceof EndedAnswerError);
});

// Guards against large answers that take the processor of all others.
test('answers beyond their free part share one pace', async () => {
  const reader = new Reader(1_000 * MIB);
  const pieces = (2 * MIB) / PIECE_BYTES;
  let done = 0;
  for (let index = 0; index < 20; index++) {
    void reader.read(`e${index}`, pieces).then(() => done++);
  }
  await reader.clock.advance(1_000);
  // 40 MiB in all, of which a burst and a second's pace are read.
  assert.ok(done < 20, `${done}`);
  await reader.clock.advance(40_000);
  assert.equal(done, 20);
});

test('small answers are never held back', async () => {
  const reader = new Reader(MIB);
  void reader.read('faulty', 10_000);
  await reader.clock.advance(100);
  let done = 0;
  for (let index = 0; index < 30; index++) {
    void reader.read('sound', 1).then(error => (done += error ? 0 : 1));
  }
  await reader.clock.advance(1);
  assert.equal(done, 30);
});

test.run();
