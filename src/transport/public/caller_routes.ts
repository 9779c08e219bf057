/** Routes under `/v1/` for the customers' callers. */
import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Polka} from 'polka';
import type {ControlView} from '../../protocol/control.ts';
import type {Customer, Declaration} from '../../protocol/declaration.ts';
import type {RequestContext} from '../../coordination/requests/request_context.ts';
import {readBearer, refuseUnauthorized} from './bearer.ts';
import {handleCompletion, handleModels} from './completion_routes.ts';
import type {WrapHandler, RouteHandler} from './create_public_handler.ts';
import {sendError} from './http_errors.ts';
import {handleServiceCall, SERVICES_PATH} from './service_routes.ts';

export interface CallerRoutesOptions {
  readonly context: RequestContext;
  /** Whether new requests are accepted; false once a shutdown has begun. */
  readonly isOpen: () => boolean;
}

type CustomerHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  customer: Customer,
  view: ControlView,
) => Promise<void> | void;

/** Adds the callers' routes to `app`. */
export function addCallerRoutes(
  app: Polka,
  options: CallerRoutesOptions,
  wrapHandler: WrapHandler,
): void {
  const {context} = options;
  const findCustomer = createCustomerFinder();
  const createCustomerRoute = (handler: CustomerHandler): RouteHandler =>
    wrapHandler(async (request, response) => {
      const view = context.getView();
      if (!options.isOpen() || !view) {
        refuseUnavailable(response, options.isOpen());
        return;
      }
      const customer = findCustomer(readBearer(request), view.declaration);
      if (customer) await handler(request, response, customer, view);
      else refuseUnauthorized(response);
    });
  app
    .post(
      '/v1/chat/completions',
      createCustomerRoute((request, response, customer) =>
        handleCompletion(request, response, customer, context),
      ),
    )
    .get(
      '/v1/models',
      createCustomerRoute((_request, response, customer, view) =>
        handleModels(response, customer, view),
      ),
    )
    .all(
      `${SERVICES_PATH}*`,
      createCustomerRoute((request, response, customer) =>
        handleServiceCall(request, response, customer, context),
      ),
    );
}

/** Creates a look-up by API key that indexes the latest declaration. */
function createCustomerFinder() {
  let indexed: Declaration | null = null;
  let customers = new Map<string, Customer>();
  return (
    key: string,
    declaration: Declaration | null,
  ): Customer | undefined => {
    if (key === '' || !declaration) return undefined;
    if (indexed !== declaration) {
      indexed = declaration;
      customers = new Map(
        declaration.customers.map(each => [each.key_sha256, each]),
      );
    }
    return customers.get(createHash('sha256').update(key).digest('hex'));
  };
}

function refuseUnavailable(response: ServerResponse, isOpen: boolean): void {
  sendError(response, '', {
    outcome: 'not-run',
    code: isOpen ? 'configuration-unknown' : 'shutting-down',
    message: isOpen
      ? 'Could not take the request: this gateway lost its lease'
      : 'Could not take the request: this gateway is shutting down',
    status: 503,
    retryAfterMs: 1_000,
  });
}
