/** Dispatches requests to route handlers by path and method. */
import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import polka from 'polka';
import type {Host} from '../../protocol/control.ts';
import type {Announcement} from '../../protocol/endpoint.ts';
import type {Logger} from '../../protocol/logger.ts';
import {RefusalLog} from '../../protocol/refusal_log.ts';
import type {Outcome} from '../../protocol/outcome.ts';
import type {RequestContext} from '../../coordination/requests/request_context.ts';
import {addCallerRoutes} from './caller_routes.ts';
import {addEndpointRoutes} from './endpoint_routes.ts';
import {sendError, sendJson} from './http_errors.ts';
import {addOperatorRoutes, type OperatorService} from './operator_routes.ts';
import {SERVICES_PATH} from './service_routes.ts';

export interface PublicHandlerOptions {
  readonly logger: Logger;
  readonly operatorSecret: string;
  readonly endpointSecret: string;
  readonly context: RequestContext;
  readonly operators: OperatorService;
  readonly listHosts: () => readonly Host[];
  readonly announce: (announcement: Announcement) => Outcome<void, string>;
  /** Whether new requests are accepted; false once a shutdown has begun. */
  readonly isOpen: () => boolean;
  /** Registers the promise of a running handler; a shutdown awaits it. */
  readonly trackWork: (task: Promise<void>) => void;
}

/** Handles one request. */
export type RouteHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void> | void;

/** Wraps a handler so that an exception is logged and answered with 500. */
export type WrapHandler = (handler: RouteHandler) => RouteHandler;

/** Creates the request listener of the public server. */
export function createPublicHandler(
  options: PublicHandlerOptions,
): RequestListener {
  const {context} = options;
  const wrapHandler: WrapHandler = handler => (request, response) => {
    options.trackWork(runHandler(handler, request, response, options.logger));
  };
  const app = polka({onNoMatch: refuseUnknown});
  app
    .get(
      '/healthz',
      wrapHandler((_request, response) =>
        sendJson(response, 200, {alive: true}),
      ),
    )
    .get(
      '/readyz',
      wrapHandler((_request, response) => {
        const ready = options.isOpen() && context.getView() !== null;
        sendJson(response, ready ? 200 : 503, {ready});
      }),
    );
  addCallerRoutes(app, options, wrapHandler);
  addEndpointRoutes(
    app,
    {
      endpointSecret: options.endpointSecret,
      region: context.region,
      dataCentre: context.dataCentre,
      random: context.random,
      listHosts: options.listHosts,
      getView: context.getView,
      announce: options.announce,
      refusals: new RefusalLog({clock: context.clock, logger: options.logger}),
    },
    wrapHandler,
  );
  addOperatorRoutes(app, options, wrapHandler);
  return (request, response) => {
    const path = readPath(request);
    // Node omits the body when it answers a HEAD request.
    if (request.method === 'HEAD' && !path.startsWith(SERVICES_PATH)) {
      request.method = 'GET';
    }
    // polka's handler type demands properties that polka sets itself.
    (app.handler as unknown as RequestListener)(request, response);
  };
}

async function runHandler(
  handler: RouteHandler,
  request: IncomingMessage,
  response: ServerResponse,
  logger: Logger,
): Promise<void> {
  try {
    await handler(request, response);
  } catch (error) {
    logger.error('Fails a request: its handler threw.', {
      request: response.getHeader('x-request-id'),
      reason: (error as Error).stack,
    });
    if (response.headersSent) {
      response.destroy();
      return;
    }
    sendError(response, '', {
      outcome: 'unknown',
      code: 'internal',
      message: 'Could not finish the request',
      status: 500,
    });
  }
}

/** The methods allowed on each path without parameters. */
const METHODS: Readonly<Record<string, string>> = {
  '/v1/chat/completions': 'POST',
  '/v1/models': 'GET, HEAD',
  '/v1/addresses': 'GET, HEAD',
  '/healthz': 'GET, HEAD',
  '/readyz': 'GET, HEAD',
  '/endpoints/announce': 'POST',
  '/operator/commands': 'POST',
  '/operator/status': 'GET, HEAD',
  '/operator/bills': 'GET, HEAD',
};

function refuseUnknown(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const methods = METHODS[readPath(request)];
  if (methods) response.setHeader('allow', methods);
  sendError(response, '', {
    outcome: 'not-run',
    code: methods ? 'method-not-allowed' : 'not-found',
    message: methods
      ? `Could not use the method ${request.method}: expected ${methods}`
      : 'Could not find the path',
    status: methods ? 405 : 404,
  });
}

function readPath(request: IncomingMessage): string {
  return (request.url ?? '').split('?', 1)[0] ?? '';
}
