/** The HTTP server for callers, endpoints and operators. */
import {createHash} from 'node:crypto';
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type ServerResponse,
} from 'node:http';
import polka from 'polka';
import type {ControlView, Host} from '../../protocol/control.ts';
import type {Customer} from '../../protocol/declaration.ts';
import type {Announcement} from '../../protocol/endpoint.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Outcome} from '../../protocol/outcome.ts';
import type {RequestContext} from '../../coordination/requests/request_context.ts';
import {readBearer, refuseStranger} from './bearer.ts';
import {handleCompletion, handleModels} from './completion_routes.ts';
import {sendError, sendJson} from './http_errors.ts';
import {addEndpointRoutes} from './endpoint_routes.ts';
import {addOperatorRoutes, type OperatorService} from './operator_routes.ts';
import {handleServiceCall, SERVICES_PATH} from './service_routes.ts';

/** How long a caller may take to send its headers. */
const HEADERS_TIMEOUT_MS = 10_000;

/** The most open connections. */
const MAX_CONNECTIONS = 10_000;

export interface PublicServerOptions {
  readonly host: string;
  readonly port: number;
  readonly logger: Logger;
  readonly operatorSecret: string;
  readonly endpointSecret: string;
  readonly context: RequestContext;
  readonly operators: OperatorService;
  readonly listHosts: () => readonly Host[];
  readonly announce: (announcement: Announcement) => Outcome<void, string>;
  /** Whether new work is taken; false once a shutdown has begun. */
  readonly isOpen: () => boolean;
}

/** A listening server that knows how much work it has open. */
export interface PublicServer extends AsyncDisposable {
  /** Resolves when no request is open any more. */
  waitUntilIdle(): Promise<void>;
}

/** Starts to listen. */
export async function startPublicServer(
  options: PublicServerOptions,
): Promise<PublicServer> {
  const server = createServer({headersTimeout: HEADERS_TIMEOUT_MS});
  server.maxConnections = MAX_CONNECTIONS;
  const open = new Set<ServerResponse>();
  let wakeIdle: () => void = () => {};
  server.on('request', (_request, response) => {
    open.add(response);
    response.once('close', () => {
      open.delete(response);
      if (open.size === 0) wakeIdle();
    });
  });
  server.on('request', createHandler(options));
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  return {
    async waitUntilIdle() {
      if (open.size === 0) return;
      await new Promise<void>(resolve => (wakeIdle = resolve));
    },
    async [Symbol.asyncDispose]() {
      server.closeAllConnections();
      await new Promise<void>(resolve => server.close(() => resolve()));
    },
  };
}

/** Answers one request. */
export type RouteHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void> | void;

/** Wraps a handler so that an exception is logged and answered. */
export type GuardRoute = (handler: RouteHandler) => RouteHandler;

function createHandler(options: PublicServerOptions): RequestListener {
  const {context, logger} = options;
  const guard: GuardRoute = handler => {
    return async (request, response) => {
      try {
        await handler(request, response);
      } catch (error) {
        logger.error('Could not finish a request.', {
          reason: (error as Error).stack,
        });
        if (!response.headersSent) {
          sendJson(response, 500, {error: {message: 'internal error'}});
        } else {
          response.destroy();
        }
      }
    };
  };
  const forCustomer = (
    handler: (
      request: IncomingMessage,
      response: ServerResponse,
      customer: Customer,
      view: ControlView,
    ) => Promise<void> | void,
  ): RouteHandler =>
    guard(async (request, response) => {
      const view = context.getView();
      if (!options.isOpen() || !view) {
        refuseClosed(response, options.isOpen());
        return;
      }
      const customer = findCustomer(request, view);
      if (!customer) {
        refuseStranger(response);
        return;
      }
      await handler(request, response, customer, view);
    });
  const app = polka()
    .post(
      '/v1/chat/completions',
      forCustomer((request, response, customer) =>
        handleCompletion(request, response, customer, context),
      ),
    )
    .get(
      '/v1/models',
      forCustomer((_request, response, customer, view) =>
        handleModels(response, customer, view),
      ),
    )
    .all(
      `${SERVICES_PATH}*`,
      forCustomer((request, response, customer) =>
        handleServiceCall(request, response, customer, context),
      ),
    )
    .get(
      '/healthz',
      guard((_request, response) => sendJson(response, 200, {alive: true})),
    )
    .get(
      '/readyz',
      guard((_request, response) => {
        const ready = options.isOpen() && context.getView() !== null;
        sendJson(response, ready ? 200 : 503, {ready});
      }),
    );
  addEndpointRoutes(
    app,
    {
      endpointSecret: options.endpointSecret,
      region: context.region,
      dataCentre: context.dataCentre,
      listHosts: options.listHosts,
      getView: context.getView,
      announce: options.announce,
    },
    guard,
  );
  addOperatorRoutes(app, options, guard);
  // polka reads the parts of a request that it needs by itself.
  return app.handler as unknown as RequestListener;
}

function findCustomer(
  request: IncomingMessage,
  view: ControlView,
): Customer | undefined {
  const key = readBearer(request);
  if (key === '') return undefined;
  const hash = createHash('sha256').update(key).digest('hex');
  return view.declaration?.customers.find(each => each.key_sha256 === hash);
}

function refuseClosed(response: ServerResponse, open: boolean): void {
  sendError(response, '', {
    outcome: 'not-run',
    code: open ? 'configuration-unknown' : 'shutting-down',
    message: open
      ? 'Could not take the request: this gateway lost its lease'
      : 'Could not take the request: this gateway is shutting down',
    status: 503,
    retryAfterMs: 1_000,
  });
}
