/** Serves announcements of endpoints and the list of gateway addresses. */
import type {ServerResponse} from 'node:http';
import type {Polka} from 'polka';
import type {ControlView, Host} from '../../protocol/control.ts';
import {
  announcementSchema,
  type Announcement,
} from '../../protocol/endpoint.ts';
import type {Outcome} from '../../protocol/outcome.ts';
import type {RefusalLog} from '../../protocol/refusal_log.ts';
import {listAddresses} from '../../coordination/membership/list_addresses.ts';
import {equalSecrets} from '../peers/peer_server.ts';
import {readBearer, refuseUnauthorized} from './bearer.ts';
import {sendJson} from './http_errors.ts';
import type {WrapHandler} from './public_server.ts';
import {readJson} from './read_json.ts';

/** How long callers may cache the answer of `/v1/addresses`. */
const ADDRESSES_TTL_S = 5;

export interface EndpointRoutesOptions {
  readonly endpointSecret: string;
  readonly region: string;
  readonly dataCentre: string;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  readonly listHosts: () => readonly Host[];
  readonly getView: () => ControlView | null;
  /** Logs refused announcements. */
  readonly refusals: RefusalLog;
  /** Handles an announcement; the error says why it is refused. */
  readonly announce: (announcement: Announcement) => Outcome<void, string>;
}

/** Adds the endpoints' routes and `/v1/addresses` to `app`. */
export function addEndpointRoutes(
  app: Polka,
  options: EndpointRoutesOptions,
  wrapHandler: WrapHandler,
): void {
  app
    .get(
      '/v1/addresses',
      wrapHandler((_request, response) => sendAddresses(response, options)),
    )
    .post(
      '/endpoints/announce',
      wrapHandler(async (request, response) => {
        if (!equalSecrets(readBearer(request), options.endpointSecret)) {
          refuseUnauthorized(response);
          return;
        }
        const announcement = await readJson(request, response, {
          schema: announcementSchema,
          onRefuse: reason =>
            options.refusals.record('Refuses an announcement.', reason, {
              from: request.socket.remoteAddress,
              reason,
            }),
        });
        if (!announcement) return;
        const accepted = options.announce(announcement);
        if (!accepted.ok) {
          sendJson(response, 409, {error: {message: accepted.error}});
          return;
        }
        sendJson(response, 200, {
          addresses: findAddresses(options, announcement.dataCentre),
        });
      }),
    );
}

function sendAddresses(
  response: ServerResponse,
  options: EndpointRoutesOptions,
): void {
  sendJson(response, 200, {
    ttl_s: ADDRESSES_TTL_S,
    addresses: findAddresses(options, options.dataCentre),
  });
}

/** Lists the gateways without draining ones, nearest first. */
function findAddresses(options: EndpointRoutesOptions, dataCentre: string) {
  const {region, random, listHosts, getView} = options;
  const draining = new Set(getView()?.draining ?? []);
  return listAddresses(listHosts(), {region, dataCentre, draining, random});
}
