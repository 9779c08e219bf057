/**
 * A client like those of users: fetches the gateway addresses, caches them for
 * their time to live and retries at another gateway after a failure.
 */
import {createParser} from 'eventsource-parser';
import {Agent, request, type Dispatcher} from 'undici';
import type {CallRecord} from '../records/call_record.ts';

/** The default timeout for the headers of a reply. */
const HEADERS_TIMEOUT_MS = 15_000;

/** The idle timeout of a stream; keep-alive lines arrive every second. */
const STREAM_IDLE_TIMEOUT_MS = 4_000;

/** The timeout for connecting and for fetching addresses. */
const CONNECT_TIMEOUT_MS = 1_500;

/** The longest backoff before a retry. */
const MAX_BACKOFF_MS = 1_000;

export interface CallerOptions {
  readonly customer: string;
  readonly apiKey: string;
  /** Where to fetch the gateways' addresses, and the fallback for them. */
  readonly seeds: readonly string[];
  /** Receives the record of each attempt after it ended. */
  readonly record: (call: CallRecord) => void;
  /** The maximum number of attempts per request. */
  readonly maxAttempts?: number;
  /** The timeout for the headers of a reply. */
  readonly headersTimeoutMs?: number;
}

/** One request of a caller. */
export interface CallerRequest {
  readonly key: string;
  readonly content: string;
  readonly session?: string;
  readonly stream?: boolean;
  /** The requested model. */
  readonly model?: string;
  /** The path of a service call; set instead of a model. */
  readonly service?: string;
  readonly repeatable?: boolean;
  /** The deadline of the whole request. */
  readonly deadlineMs?: number;
}

/** Sends requests for one customer and records the replies. */
export class Caller implements AsyncDisposable {
  private readonly agent: Agent;
  private addresses: readonly string[] = [];
  private addressesUntil = 0;
  private readonly avoidedUntil = new Map<string, number>();

  constructor(private readonly options: CallerOptions) {
    this.agent = new Agent({
      connect: {timeout: CONNECT_TIMEOUT_MS},
      headersTimeout: options.headersTimeoutMs ?? HEADERS_TIMEOUT_MS,
      bodyTimeout: STREAM_IDLE_TIMEOUT_MS,
    });
  }

  /** Sends a request until it is answered or attempts are exhausted. */
  async send(call: CallerRequest): Promise<CallRecord> {
    const {maxAttempts = 1} = this.options;
    for (let attempt = 1; ; attempt++) {
      const record = await this.sendOnce(call);
      if (record.outcome === 'answered' || attempt >= maxAttempts)
        return record;
      this.avoid(record.gateway);
      await sleep(Math.min(MAX_BACKOFF_MS, 100 * 2 ** attempt));
    }
  }

  /** Sends a request once, to `gateway` or to a chosen one. */
  async sendOnce(call: CallerRequest, gateway?: string): Promise<CallRecord> {
    const record = createRecord(call, this.options.customer);
    record.gateway = gateway ?? (await this.chooseGateway());
    record.startedAtMs = Date.now();
    try {
      const response = await this.post(record.gateway, call);
      await readReply(response, record);
    } catch (error) {
      record.code = (error as NodeJS.ErrnoException).code ?? String(error);
    }
    record.endedAtMs = Date.now();
    this.options.record(record);
    return record;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.agent.destroy();
  }

  private avoid(gateway: string): void {
    this.avoidedUntil.set(gateway, Date.now() + MAX_BACKOFF_MS);
    this.addressesUntil = 0;
  }

  private post(
    gateway: string,
    call: CallerRequest,
  ): Promise<Dispatcher.ResponseData> {
    const path =
      call.service === undefined
        ? '/v1/chat/completions'
        : `/v1/services/${call.service}`;
    const body =
      call.service === undefined
        ? JSON.stringify({
            model: call.model ?? 'draft',
            stream: call.stream ?? false,
            messages: [{role: 'user', content: call.content}],
          })
        : call.content;
    return request(`http://${gateway}${path}`, {
      method: 'POST',
      dispatcher: this.agent,
      headers: {
        authorization: `Bearer ${this.options.apiKey}`,
        'content-type': 'application/json',
        'idempotency-key': call.key,
        ...(call.deadlineMs === undefined
          ? {}
          : {'x-deadline-ms': String(call.deadlineMs)}),
        ...(call.session ? {'x-session-id': call.session} : {}),
      },
      body,
    });
  }

  private async chooseGateway(): Promise<string> {
    if (Date.now() >= this.addressesUntil) await this.refreshAddresses();
    const now = Date.now();
    const usable = this.addresses.filter(
      address => (this.avoidedUntil.get(address) ?? 0) <= now,
    );
    const choices = usable.length > 0 ? usable : this.addresses;
    // Addresses are sorted by distance; the load is spread over the first few.
    const index = Math.floor(Math.random() * Math.min(3, choices.length));
    return choices[index] ?? this.options.seeds[0] ?? '';
  }

  private async refreshAddresses(): Promise<void> {
    const sources = [...this.addresses, ...this.options.seeds];
    for (const source of sources) {
      if ((this.avoidedUntil.get(source) ?? 0) > Date.now()) continue;
      try {
        const response = await request(`http://${source}/v1/addresses`, {
          dispatcher: this.agent,
          headersTimeout: CONNECT_TIMEOUT_MS,
          bodyTimeout: CONNECT_TIMEOUT_MS,
        });
        const reply = (await response.body.json()) as AddressesReply;
        if (reply.addresses.length === 0) continue;
        this.addresses = reply.addresses.map(each => each.address);
        this.addressesUntil = Date.now() + reply.ttl_s * 1_000;
        return;
      } catch {
        this.avoidedUntil.set(source, Date.now() + MAX_BACKOFF_MS);
      }
    }
    if (this.addresses.length === 0) this.addresses = this.options.seeds;
  }
}

interface AddressesReply {
  readonly ttl_s: number;
  readonly addresses: ReadonlyArray<{readonly address: string}>;
}

function createRecord(call: CallerRequest, customer: string): CallRecord {
  return {
    kind: call.service === undefined ? 'completion' : 'call',
    customer,
    key: call.key,
    repeatable: call.repeatable ?? call.service === undefined,
    session: call.session,
    content: call.content,
    gateway: '',
    startedAtMs: 0,
    endedAtMs: 0,
    status: 0,
    outcome: 'no-reply',
    code: '',
    requestId: '',
    version: '',
    moved: false,
    text: '',
  };
}

interface ReplyBody {
  model?: string;
  choices?: Array<{
    message?: {content?: string};
    delta?: {content?: string};
  }>;
  error?: {outcome?: CallRecord['outcome']; code?: string};
}

async function readReply(
  response: Dispatcher.ResponseData,
  record: CallRecord,
): Promise<void> {
  const header = (name: string) => String(response.headers[name] ?? '');
  record.status = response.statusCode;
  record.requestId = header('x-request-id');
  record.version = header('x-version');
  record.moved = header('x-session-moved') !== '';
  if (header('content-type').startsWith('text/event-stream')) {
    await readStream(response, record);
    return;
  }
  const text = await response.body.text();
  if (record.kind === 'call' && header('x-outcome') === 'answered') {
    record.text = text;
    record.outcome = 'answered';
    return;
  }
  const body = JSON.parse(text) as ReplyBody;
  if (response.statusCode !== 200) {
    recordError(record, body.error ?? {});
    return;
  }
  record.text = body.choices?.[0]?.message?.content ?? '';
  record.version = body.model ?? record.version;
  record.outcome = 'answered';
}

async function readStream(
  response: Dispatcher.ResponseData,
  record: CallRecord,
): Promise<void> {
  const parser = createParser({
    onEvent({data}) {
      if (data === '[DONE]') {
        record.outcome = 'answered';
        return;
      }
      const body = JSON.parse(data) as ReplyBody;
      if (body.error) {
        recordError(record, body.error);
        return;
      }
      const text = body.choices?.[0]?.delta?.content ?? '';
      if (text !== '') record.firstTokenAtMs ??= Date.now();
      record.text += text;
      record.version = body.model ?? record.version;
    },
  });
  const decoder = new TextDecoder();
  for await (const bytes of response.body) {
    parser.feed(decoder.decode(bytes as Buffer, {stream: true}));
  }
}

function recordError(
  record: CallRecord,
  error: NonNullable<ReplyBody['error']>,
): void {
  // Without an outcome the request may or may not have run.
  record.outcome = error.outcome ?? 'unknown';
  record.code = error.code ?? '';
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
