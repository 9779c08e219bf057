/** Serves `/v1/services/SERVICE/…`: calls of plain services. */
import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestError} from '../../protocol/completion.ts';
import type {Call, Customer, Service} from '../../protocol/declaration.ts';
import type {RequestContext} from '../../coordination/requests/request_context.ts';
import {runServiceCall} from '../../coordination/requests/run_service_call.ts';
import {sendError} from './http_errors.ts';
import {readBody, type BodyError} from './read_body.ts';
import {readCallOptions} from './read_call_options.ts';

/** Path prefix of services. */
export const SERVICES_PATH = '/v1/services/';

/** Answers a call of a plain service. */
export async function handleServiceCall(
  request: IncomingMessage,
  response: ServerResponse,
  customer: Customer,
  context: RequestContext,
): Promise<void> {
  const requestId = String(response.getHeader('x-request-id'));
  const target = findTarget(request, customer, context);
  if (!target) {
    sendError(response, requestId, {
      outcome: 'not-run',
      code: 'no-service',
      message: 'Could not find a call that is declared for this customer',
      status: 404,
    });
    return;
  }
  const body = await readBody(request);
  if (!body.ok) {
    response.setHeader('connection', 'close');
    sendError(response, requestId, describeBadBody(body.error));
    return;
  }
  const method = request.method ?? 'GET';
  const aborted = new AbortController();
  // A call that may not be repeated continues if its caller disconnects.
  if (target.call.repeatable) {
    response.on('close', () => aborted.abort());
  }
  const answer = await runServiceCall(
    {
      requestId,
      customer,
      ...target,
      method,
      contentType: request.headers['content-type'],
      body: body.value,
      digest: createHash('sha256')
        .update(`${method} ${target.service.name} ${target.path}\n`)
        .update(body.value)
        .digest('hex'),
      ...readCallOptions(request, requestId),
    },
    context,
    aborted.signal,
  );
  if (!answer.ok) {
    sendError(response, requestId, answer.error);
    return;
  }
  const {status, contentType, body: content} = answer.value;
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': content.length,
    'x-outcome': 'answered',
  });
  response.end(content);
}

interface ServiceTarget {
  service: Service;
  call: Call;
  path: string;
}

function findTarget(
  request: IncomingMessage,
  customer: Customer,
  context: RequestContext,
): ServiceTarget | null {
  const rest = (request.url ?? '').slice(SERVICES_PATH.length);
  const slash = rest.indexOf('/');
  if (slash <= 0) return null;
  const name = rest.slice(0, slash);
  const path = rest.slice(slash);
  const service = context
    .getView()
    ?.declaration?.services.find(each => each.name === name);
  if (!service || !customer.services.includes(name)) return null;
  const pathname = path.split('?')[0] ?? path;
  const call = service.calls.find(
    each => each.method === request.method && matchesPath(each.path, pathname),
  );
  return call ? {service, call, path} : null;
}

function matchesPath(declared: string, path: string): boolean {
  if (!declared.endsWith('*')) return declared === path;
  return path.startsWith(declared.slice(0, -1));
}

function describeBadBody(error: BodyError): RequestError {
  return {
    outcome: 'not-run',
    code: 'bad-request',
    message: `Could not read the call: ${error.message}`,
    status: error.status,
    ...(error.retryAfterMs === undefined
      ? {}
      : {retryAfterMs: error.retryAfterMs}),
  };
}
