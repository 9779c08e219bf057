/** Endpoints that fall silent, and a gateway that calls them, for tests. */
import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
  FakeGateway,
  type Script,
} from '../../coordination/requests/request_fakes.ts';
import {createEngineClient} from './engine_client.ts';

/** The silence after which an attempt counts as stalled. */
const TOKEN_GAP_MS = 150;

/** A silence after which an endpoint goes on; longer than all attempts. */
const LONG_SILENCE_MS = 1_200;

/** The chunks of a whole answer, and the one before which engines pause. */
const CHUNKS = 6;
const PAUSED_CHUNK = 3;

interface Work {
  readonly startedAt: number;
  readonly offset: number;
  endedAt: number;
}

export interface EngineOptions {
  /** The chunk before which the engine falls silent. */
  readonly pausedChunk?: number;
  /** How long the whole engine is silent, from its first pause on. */
  readonly silentMs: number;
}

/** An engine or a plain service that falls silent once, on all connections. */
export class PausingEngine implements Disposable {
  readonly work: Work[] = [];
  private silentUntil: number | null = null;

  private constructor(
    private readonly options: EngineOptions,
    private readonly server = createServer((request, response) => {
      void this.answer(request, response);
    }),
  ) {
    server.unref();
  }

  static async listen(options: EngineOptions): Promise<PausingEngine> {
    const engine = new PausingEngine(options);
    engine.server.listen(0, '127.0.0.1');
    await once(engine.server, 'listening');
    return engine;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  [Symbol.dispose](): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const offset = Number(request.headers['x-resume-offset'] ?? 0);
    const work = {startedAt: performance.now(), offset, endedAt: Infinity};
    this.work.push(work);
    response.on('close', () => {
      work.endedAt = performance.now();
    });
    if (request.url === '/slots') {
      await this.pause(0);
      response.end('free');
      return;
    }
    await this.pause(-1);
    response.writeHead(200, {'content-type': 'text/event-stream'});
    response.flushHeaders();
    for (let chunk = offset; chunk < CHUNKS; chunk++) {
      await this.pause(chunk);
      const delta = {offset: chunk, choices: [{delta: {content: `${chunk} `}}]};
      response.write(`data: ${JSON.stringify(delta)}\n\n`);
    }
    const end = {
      choices: [{delta: {}, finish_reason: 'stop'}],
      usage: {prompt_tokens: 1, completion_tokens: CHUNKS},
    };
    response.end(`data: ${JSON.stringify(end)}\n\n`);
  }

  /** Waits while the engine is silent; begins its silence at `pausedChunk`. */
  private async pause(chunk: number): Promise<void> {
    const {pausedChunk = PAUSED_CHUNK, silentMs} = this.options;
    if (chunk === pausedChunk)
      this.silentUntil ??= performance.now() + silentMs;
    const leftMs = (this.silentUntil ?? 0) - performance.now();
    if (leftMs === Infinity) await new Promise<never>(() => {});
    else if (leftMs > 0) await delay(leftMs);
  }
}

export interface Setting extends AsyncDisposable {
  readonly gateway: FakeGateway;
  readonly engines: Record<string, PausingEngine>;
}

/** Opens a gateway with an engine for each name. */
export async function openSetting(
  options: Record<string, EngineOptions>,
): Promise<Setting> {
  const engines: Record<string, PausingEngine> = {};
  const scripts: Record<string, Script> = {};
  for (const [name, each] of Object.entries(options)) {
    engines[name] = await PausingEngine.listen(each);
    scripts[name] = {};
  }
  const gateway = new FakeGateway(scripts);
  const client = createEngineClient({tokenGapMs: TOKEN_GAP_MS});
  const find = (name: string) => engines[name]?.address ?? '127.0.0.1:1';
  Object.assign(gateway.context, {
    dispatcher: {
      openCompletion: (attempt, signal) =>
        client.openCompletion(
          {...attempt, address: find(attempt.address)},
          signal,
        ),
      callService: (attempt, signal) =>
        client.callService(
          {
            ...attempt,
            address: find(attempt.address),
            silenceMs: Math.min(attempt.silenceMs, TOKEN_GAP_MS),
          },
          signal,
        ),
    } satisfies FakeGateway['context']['dispatcher'],
  });
  return {
    gateway,
    engines,
    async [Symbol.asyncDispose]() {
      await client[Symbol.asyncDispose]();
      for (const engine of Object.values(engines)) engine[Symbol.dispose]();
    },
  };
}

/** Endpoints that fall silent and go on, that stay silent, and that do not. */
export const pausing: EngineOptions = {silentMs: LONG_SILENCE_MS};
export const dead: EngineOptions = {silentMs: Infinity};
export const well: EngineOptions = {silentMs: 0};

/** Uses up the retry budget of a gateway. */
export function spendRetries({context}: FakeGateway): void {
  while (context.decisions.retryBudget.tryTake());
}
