/** Serves OpenAI's `/v1/chat/completions` and `/v1/models`. */
import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestError} from '../../protocol/completion.ts';
import {
  completionRequestSchema,
  type CompletionRequest,
} from '../../protocol/completion.ts';
import {formatVersion, type Customer} from '../../protocol/declaration.ts';
import type {ControlView} from '../../protocol/control.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {RequestContext} from '../../coordination/requests/request_context.ts';
import {
  runCompletion,
  type CompletionCall,
  type CompletionEvent,
} from '../../coordination/requests/run_completion.ts';
import {
  isAllowed,
  isWithdrawn,
} from '../../coordination/routing/eligible_versions.ts';
import {sendError, sendJson} from './http_errors.ts';
import {parseJson} from './parse_json.ts';
import {readBody} from './read_body.ts';
import {readCallOptions} from './read_call_options.ts';
import {describeUsage, StreamWriter} from './stream_writer.ts';

/** Answers `POST /v1/chat/completions`. */
export async function handleCompletion(
  request: IncomingMessage,
  response: ServerResponse,
  customer: Customer,
  context: RequestContext,
): Promise<void> {
  const requestId = String(response.getHeader('x-request-id'));
  const body = await readBody(request);
  if (!body.ok) {
    response.setHeader('connection', 'close');
    const {status, message, retryAfterMs} = body.error;
    sendError(response, requestId, {
      ...describeBadRequest(status, message),
      ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
    });
    return;
  }
  const checked = parseRequest(body.value);
  if (!checked.ok) {
    sendError(response, requestId, describeBadRequest(400, checked.error));
    return;
  }
  const parsed = checked.value;
  const call: CompletionCall = {
    requestId,
    customer,
    request: parsed,
    digest: createHash('sha256').update(body.value).digest('hex'),
    ...readCallOptions(request, requestId),
  };
  const aborted = new AbortController();
  response.on('close', () => {
    if (!response.writableFinished) aborted.abort();
  });
  const events = runCompletion(call, context, aborted.signal);
  if (parsed.stream) await sendStream(response, call, events);
  else await sendCompleteAnswer(response, call, events);
}

/** Answers `GET /v1/models` with the models that the customer may use. */
export function handleModels(
  response: ServerResponse,
  customer: Customer,
  view: ControlView,
): void {
  const usable = (view.declaration?.versions ?? []).filter(
    version => isAllowed(customer, version) && !isWithdrawn(view, version),
  );
  const names = new Set(
    usable.flatMap(version => [version.model, formatVersion(version)]),
  );
  const data = [...names].map(id => ({
    id,
    object: 'model',
    created: 0,
    owned_by: 'parsleypond',
  }));
  sendJson(response, 200, {object: 'list', data});
}

type Events = AsyncIterable<Outcome<CompletionEvent, RequestError>>;

async function sendStream(
  response: ServerResponse,
  call: CompletionCall,
  events: Events,
): Promise<void> {
  const includeUsage = call.request.stream_options?.include_usage ?? false;
  using writer = new StreamWriter(response, call.requestId, includeUsage);
  for await (const event of events) {
    // A promise is returned only under backpressure.
    const waiting = writer.write(event);
    if (waiting) await waiting;
  }
  response.end();
}

async function sendCompleteAnswer(
  response: ServerResponse,
  call: CompletionCall,
  events: Events,
): Promise<void> {
  let text = '';
  let version = '';
  for await (const event of events) {
    if (!event.ok) {
      sendError(response, call.requestId, event.error);
      return;
    }
    const {value} = event;
    switch (value.type) {
      case 'accepted':
        if (value.moved) response.setHeader('x-session-moved', 'withdrawn');
        break;
      case 'start':
        version = value.version;
        response.setHeader('x-version', version);
        break;
      case 'delta':
        text += value.text;
        break;
      case 'end':
        response.setHeader('x-outcome', 'answered');
        sendJson(response, 200, {
          id: call.requestId,
          object: 'chat.completion',
          created: Math.floor(Date.now() / 1_000),
          model: version,
          choices: [
            {
              index: 0,
              message: {role: 'assistant', content: text, refusal: null},
              logprobs: null,
              finish_reason: value.finishReason,
            },
          ],
          usage: describeUsage(value.usage),
        });
    }
  }
}

function parseRequest(body: Buffer): Outcome<CompletionRequest, string> {
  const value = parseJson(body.toString('utf8'));
  if (!value.ok) return value;
  const parsed = completionRequestSchema.safeParse(value.value);
  if (parsed.success) return succeed(parsed.data);
  const issue = parsed.error.issues[0];
  return fail(`${issue?.path.join('.')}: ${issue?.message}`);
}

function describeBadRequest(status: number, reason: string): RequestError {
  return {
    outcome: 'not-run',
    code: 'bad-request',
    message: `Could not read the request: ${reason}`,
    status,
  };
}
