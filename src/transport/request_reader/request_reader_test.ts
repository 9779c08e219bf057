/**
 * Plays drawn requests to an HTTP server over streams in memory, cut at drawn places,
 * with a reader and without one.
 */
import assert from 'node:assert/strict';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {test} from 'uvu';
import {MemoryAccount} from '../../coordination/memory_account/memory_account.ts';
import {systemClock} from '../../protocol/clock.ts';
import {createDraws, type Draws} from '../../protocol/seeded_draws.ts';
import {ConnectionGuard} from '../memory/connection_guard.ts';

const SEEDS = Number(process.env['READER_SEEDS'] ?? 60);
const FROM = Number(process.env['READER_FROM'] ?? 1);

const KIB = 1024;
const MIB = 1024 * KIB;
const BUDGET_BYTES = 26 * MIB;
const HEADER_BYTES = 4 * MIB;
const MAX_HEADER_BYTES = 16 * KIB;

/** How many turns of the event loop are played at most, and without a change. */
const MAX_TURNS = 20_000;
const QUIET_TURNS = 40;

/** One end of a connection whose other end is the test. */
class FakeSocket extends Duplex {
  readonly remoteAddress = '10.0.0.1';
  readonly remotePort = 80;
  written = '';
  private readonly pieces: Buffer[] = [];
  private isReading = false;

  override _read(): void {
    this.isReading = true;
    this.pushNext();
  }

  /** Whether what is written is taken only by `drainWritten()`. */
  isStalling = false;
  private drainNext: (() => void) | null = null;

  override _write(bytes: Buffer, _encoding: string, done: () => void): void {
    this.written += bytes.toString('latin1');
    if (this.isStalling) this.drainNext = done;
    else done();
  }

  /** Takes what is written, as a peer that reads. */
  drainWritten(): void {
    this.isStalling = false;
    this.drainNext?.();
  }

  setTimeout(): this {
    return this;
  }

  destroySoon(): void {
    this.end(() => this.destroy());
  }

  /** Sends bytes to the server. */
  send(bytes: Buffer): void {
    this.pieces.push(bytes);
    if (this.isReading) this.pushNext();
  }

  /** The bytes that the server has not read. */
  get unreadBytes(): number {
    return this.pieces.reduce((sum, {length}) => sum + length, 0);
  }

  private pushNext(): void {
    const piece = this.pieces.shift();
    if (!piece) return;
    this.isReading = false;
    this.push(piece);
  }
}

/** What a server made of the bytes of a connection. */
interface Verdict {
  readonly requests: readonly string[];
  /** The statuses that were sent, in order. */
  readonly statuses: readonly string[];
  readonly isClosed: boolean;
}

interface PlayOptions {
  readonly hasReader: boolean;
  /** Called after each turn of the event loop. */
  readonly observe?: (memory: MemoryAccount) => void;
  /** The answers wait for these many turns; none by default. */
  readonly answerTurns?: number;
}

function takeTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

function describeRequest(request: IncomingMessage, body: string): string {
  const {method, url, rawHeaders, rawTrailers} = request;
  return JSON.stringify([method, url, rawHeaders, body, rawTrailers]);
}

async function playPieces(
  pieces: readonly Buffer[],
  {hasReader, observe = () => {}, answerTurns = 0}: PlayOptions,
): Promise<Verdict> {
  const requests: string[] = [];
  const server: Server = createServer({maxHeaderSize: 64 * KIB});
  server.maxHeadersCount = 0;
  const memory = new MemoryAccount({
    clock: systemClock,
    budgetBytes: BUDGET_BYTES,
    kindBytes: {header: HEADER_BYTES},
  });
  using guard = hasReader
    ? new ConnectionGuard(server, {
        memory,
        getMaxHeaderBytes: () => MAX_HEADER_BYTES,
      })
    : null;
  server.on('request', (request, response) => {
    if (guard && !guard.admit(request, response)) return;
    let body = '';
    request.on('data', bytes => (body += String(bytes)));
    request.on('error', () => {});
    request.on('end', async () => {
      requests.push(describeRequest(request, body));
      for (let turn = 0; turn < answerTurns; turn++) await takeTurn();
      response.end('ok');
    });
  });
  const socket = new FakeSocket();
  socket.on('error', () => {});
  server.emit('connection', socket as unknown as Socket);
  for (const piece of pieces) {
    socket.send(piece);
    observe(memory);
    await takeTurn();
  }
  let quietTurns = 0;
  let seen = -1;
  for (
    let turn = 0;
    turn < MAX_TURNS && quietTurns < QUIET_TURNS + answerTurns;
    turn++
  ) {
    observe(memory);
    await takeTurn();
    const state = requests.length + socket.unreadBytes + socket.written.length;
    quietTurns = state === seen ? quietTurns + 1 : 0;
    seen = state;
  }
  const isClosed = socket.destroyed || socket.writableEnded;
  const statuses = [...socket.written.matchAll(/HTTP\/1\.1 (\d+)/g)];
  socket.destroy();
  await takeTurn();
  await takeTurn();
  if (hasReader) assert.equal(memory.bytes, 0, 'memory stays held');
  return {
    requests,
    statuses: statuses.map(([, status = '']) => status),
    isClosed,
  };
}

function drawText(draws: Draws, max: number): string {
  const length = Math.floor(draws.log(1, max));
  return 'abcdefghij'.repeat(Math.ceil(length / 10)).slice(0, length);
}

function drawLines(draws: Draws): string {
  const count = Math.floor(draws.log(1, 300)) - 1;
  const kind = draws.between(0, 3);
  return Array.from({length: count}, (_, index) => {
    if (kind === 0) return `${index.toString(36)}:\r\n`;
    if (kind === 1) return `__proto__: ${index}\r\n`;
    if (kind === 2) return `x-${index}:${drawText(draws, 30)}\r\n`;
    return 'accept: a/b\r\n';
  }).join('');
}

function drawChunks(draws: Draws, body: string): string {
  const parts: string[] = [];
  for (let at = 0; at < body.length;) {
    const piece = body.slice(at, at + Math.floor(draws.log(1, 2_000)));
    const extension = draws.next() < 0.3 ? `;a=${drawText(draws, 40)}` : '';
    parts.push(`${piece.length.toString(16)}${extension}\r\n${piece}\r\n`);
    at += piece.length;
  }
  const trailers = draws.next() < 0.5 ? drawLines(draws) : '';
  return `${parts.join('')}0\r\n${trailers}\r\n`;
}

/** Draws a request that a server accepts. */
function drawRequest(draws: Draws): string {
  const empty = '\r\n'.repeat(draws.next() < 0.2 ? draws.between(1, 3) : 0);
  const path = `/${drawText(draws, 200)}`;
  const lines = `Host: a\r\n${drawLines(draws)}`;
  // Bytes of a body must not be taken for framing.
  const body = drawText(draws, 5_000).replace(/[ef]/g, '\n').replace(/g/g, '0');
  switch (draws.between(0, 2)) {
    case 0:
      return `${empty}GET ${path} HTTP/1.1\r\n${lines}\r\n`;
    case 1:
      return (
        `${empty}POST ${path} HTTP/1.1\r\n${lines}` +
        `Content-Length: ${body.length}\r\n\r\n${body}`
      );
    default:
      return (
        `${empty}POST ${path} HTTP/1.1\r\n${lines}` +
        `Transfer-Encoding: chunked\r\n\r\n${drawChunks(draws, body)}`
      );
  }
}

/** Changes, drops or adds a few bytes. */
function drawBroken(draws: Draws, bytes: Buffer): Buffer {
  const at = draws.between(0, bytes.length - 1);
  const added = Buffer.from(['\n', '\r', ':', '\0', 'z'][draws.between(0, 4)]!);
  const dropped = draws.between(0, 2);
  return Buffer.concat([
    bytes.subarray(0, at),
    added,
    bytes.subarray(at + dropped),
  ]);
}

/** Splits bytes at drawn places. */
function splitBytes(draws: Draws, bytes: Buffer): Buffer[] {
  const pieces: Buffer[] = [];
  const max = draws.log(2, bytes.length + 2);
  for (let at = 0; at < bytes.length;) {
    const end = at + Math.max(1, Math.floor(draws.log(1, max)));
    pieces.push(bytes.subarray(at, end));
    at = end;
  }
  return pieces;
}

function drawBytes(draws: Draws): Buffer {
  const count = draws.between(1, 6);
  const requests = Array.from({length: count}, () => drawRequest(draws));
  return Buffer.from(requests.join(''), 'latin1');
}

// Guards against a reader that takes other bytes for a request than the parser does.
test('requests are the same with a reader, however they are cut', async () => {
  for (let seed = FROM; seed < FROM + SEEDS; seed++) {
    const draws = createDraws(seed);
    const bytes = drawBytes(draws);
    const plain = await playPieces([bytes], {hasReader: false});
    const pieces = splitBytes(draws, bytes);
    const answerTurns = draws.between(0, 5);
    for (const each of [[bytes], pieces]) {
      const verdict = await playPieces(each, {hasReader: true, answerTurns});
      assert.deepEqual(verdict, plain, `seed ${seed}`);
    }
  }
});

// Guards against a verdict on invalid bytes that depends on how they arrive.
test('broken requests end in the same way, however they are cut', async () => {
  for (let seed = FROM; seed < FROM + SEEDS; seed++) {
    const draws = createDraws(seed);
    const bytes = drawBroken(draws, drawBytes(draws));
    const whole = await playPieces([bytes], {hasReader: true});
    const cut = await playPieces(splitBytes(draws, bytes), {hasReader: true});
    // What began before the fault may have been answered before it arrived.
    const message = `seed ${seed}`;
    const length = Math.min(whole.requests.length, cut.requests.length);
    assert.deepEqual(
      whole.requests.slice(0, length),
      cut.requests.slice(0, length),
      message,
    );
    assert.equal(whole.isClosed, cut.isClosed, message);
  }
});

function createLines(count: number): string {
  let lines = '';
  for (let index = 0; index < count; index++) {
    lines += `${index.toString(36)}:\r\n`;
  }
  return lines;
}

// Guards against heads of many lines whose sum is not bounded before they are parsed.
test('heads of many lines never hold more than their bound', async () => {
  const head = `GET / HTTP/1.1\r\nHost: a\r\n${createLines(2_500)}\r\n`;
  const bytes = Buffer.from(head.repeat(30));
  let mostBytes = 0;
  const verdict = await playPieces([bytes], {
    hasReader: true,
    answerTurns: 50,
    observe: memory => {
      const held = memory.countBytes('header');
      assert.ok(held <= HEADER_BYTES, `${held} bytes are held`);
      assert.ok(memory.bytes <= BUDGET_BYTES);
      mostBytes = Math.max(mostBytes, held);
    },
  });
  assert.ok(mostBytes > MIB, 'the lines are counted');
  // Those that find no memory wait for the answers before them.
  assert.equal(verdict.requests.length, 30);
});

// Guards against one read of a socket whose requests all are parsed in one turn.
test('one read hands over one head in each turn', async () => {
  const bytes = Buffer.from('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(50));
  const server = createServer();
  const memory = new MemoryAccount({clock: systemClock, budgetBytes: MIB});
  using guard = new ConnectionGuard(server, {memory});
  let count = 0;
  server.on('request', (request, response) => {
    if (!guard.admit(request, response)) return;
    count++;
  });
  const socket = new FakeSocket();
  server.emit('connection', socket as unknown as Socket);
  socket.send(bytes);
  for (let turn = 0; turn < 20; turn++) {
    const before = count;
    await takeTurn();
    assert.ok(count - before <= 1, `${count - before} in one turn`);
  }
  assert.ok(count >= 10);
  socket.destroy();
});

// Guards against a limit that the largest head inside it meets.
test('the largest head is served, and one byte more is refused', async () => {
  const target = `/${'a'.repeat(8_000)}`;
  const frame = 'Host: a\r\nx: ';
  for (const excess of [0, 1]) {
    const length = MAX_HEADER_BYTES - frame.length - 2 + excess;
    const lines = `${frame}${'v'.repeat(length)}\r\n`;
    const bytes = Buffer.from(`GET ${target} HTTP/1.1\r\n${lines}\r\n`);
    const {requests, statuses} = await playPieces([bytes], {hasReader: true});
    assert.deepEqual(statuses, [excess ? '431' : '200']);
    assert.equal(requests.length, 1 - excess);
  }
  const short = createLines(2_900);
  assert.ok(short.length < MAX_HEADER_BYTES);
  const bytes = Buffer.from(`GET / HTTP/1.1\r\nHost: a\r\n${short}\r\n`);
  const {requests, statuses} = await playPieces([bytes], {hasReader: true});
  assert.deepEqual(statuses, ['200']);
  assert.equal(JSON.parse(requests[0] ?? '')[2].length, 2 * 2_901);
});

// Guards against a parser that is given requests while the server has paused it, as
// the answers to those before are not read.
test('requests ahead of answers that are read late are all served', async () => {
  const server = createServer();
  const memory = new MemoryAccount({
    clock: systemClock,
    budgetBytes: BUDGET_BYTES,
  });
  using guard = new ConnectionGuard(server, {memory});
  // The server throws when its parser is given bytes meanwhile.
  const errors: unknown[] = [];
  const record = (error: unknown) => errors.push(error);
  process.on('uncaughtException', record);
  const finishes: Array<() => void> = [];
  server.on('request', (request, response) => {
    if (!guard.admit(request, response)) return;
    const finish = () => void response.end('x'.repeat(100_000));
    // Later answers are written before earlier ones, and wait for them.
    if (request.url === '/late') finishes.push(finish);
    else finish();
  });
  const answered: number[] = [];
  for (const first of ['/late', '/']) {
    const socket = new FakeSocket();
    socket.on('error', () => {});
    server.emit('connection', socket as unknown as Socket);
    socket.isStalling = true;
    for (let index = 0; index < 10; index++) {
      const path = index === 0 ? first : '/';
      socket.send(Buffer.from(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`));
      for (let turn = 0; turn < 5; turn++) await takeTurn();
    }
    for (const finish of finishes) finish();
    socket.drainWritten();
    for (let turn = 0; turn < 200; turn++) await takeTurn();
    socket.destroy();
    await takeTurn();
    answered.push(socket.written.split('HTTP/1.1 200').length - 1);
  }
  process.off('uncaughtException', record);
  assert.deepEqual(errors, []);
  assert.deepEqual(answered, [10, 10]);
});

const ENDLESS: Readonly<Record<string, string>> = {
  target: `GET /${'a'.repeat(20_000)}`,
  name: `GET / HTTP/1.1\r\n${'a'.repeat(20_000)}`,
  value: `GET / HTTP/1.1\r\na: ${'a'.repeat(20_000)}`,
  lines: `GET / HTTP/1.1\r\n${createLines(5_000)}`,
  'empty lines': '\r\n'.repeat(10_000),
  'empty lines after a request': `GET / HTTP/1.1\r\nHost: a\r\n\r\n${'\r\n'.repeat(10_000)}`,
};

for (const [name, text] of Object.entries(ENDLESS)) {
  // Guards against heads that are kept, and empty lines that are read, without end.
  test(`a connection is refused for ${name} without end`, async () => {
    for (const size of [text.length, 1_000, 7]) {
      const pieces: Buffer[] = [];
      for (let at = 0; at < text.length; at += size) {
        pieces.push(Buffer.from(text.slice(at, at + size)));
      }
      const {statuses, isClosed} = await playPieces(pieces, {hasReader: true});
      assert.equal(statuses.at(-1), '431', `pieces of ${size}`);
      assert.ok(isClosed);
    }
  });
}

// Guards against trailers that are kept without end.
test('a connection is closed for trailers without end', async () => {
  const head =
    'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
  const bytes = Buffer.from(`${head}1\r\nx\r\n0\r\n${createLines(5_000)}`);
  const {requests, isClosed} = await playPieces([bytes], {hasReader: true});
  assert.deepEqual(requests, []);
  assert.ok(isClosed);
});

test.run();
