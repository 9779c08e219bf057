/** Routes of endpoints, and the addresses that callers and endpoints use. */
import type {ServerResponse} from 'node:http';
import type {Polka} from 'polka';
import type {ControlView, Host} from '../../protocol/control.ts';
import {
  announcementSchema,
  type Announcement,
} from '../../protocol/endpoint.ts';
import type {Outcome} from '../../protocol/outcome.ts';
import {equalSecrets} from '../peers/peer_server.ts';
import {readBearer, refuseStranger} from './bearer.ts';
import {sendJson} from './http_errors.ts';
import type {GuardRoute} from './public_server.ts';
import {readJson} from './read_json.ts';

/** How long callers may keep the answer of `/v1/addresses`, in seconds. */
const ADDRESSES_TTL_S = 5;

export interface EndpointRoutesOptions {
  readonly endpointSecret: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly listHosts: () => readonly Host[];
  readonly getView: () => ControlView | null;
  /** Takes an announcement in; the error says why it is refused. */
  readonly announce: (announcement: Announcement) => Outcome<void, string>;
}

/** Adds the routes to `app`. */
export function addEndpointRoutes(
  app: Polka,
  options: EndpointRoutesOptions,
  guard: GuardRoute,
): void {
  app
    .get(
      '/v1/addresses',
      guard((_request, response) => sendAddresses(response, options)),
    )
    .post(
      '/endpoints/announce',
      guard(async (request, response) => {
        if (!equalSecrets(readBearer(request), options.endpointSecret)) {
          refuseStranger(response);
          return;
        }
        const announcement = await readJson(
          request,
          response,
          announcementSchema,
        );
        if (!announcement) return;
        const taken = options.announce(announcement);
        if (!taken.ok) {
          sendJson(response, 409, {error: {message: taken.error}});
          return;
        }
        sendJson(response, 200, {
          addresses: listAddresses(options, announcement.dataCentre),
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
    addresses: listAddresses(options, options.dataCentre),
  });
}

/** The gateways to use, nearest first. */
function listAddresses(options: EndpointRoutesOptions, dataCentre: string) {
  const draining = new Set(options.getView()?.draining ?? []);
  const rank = (host: Host) =>
    host.dataCentre === dataCentre ? 0 : host.region === options.region ? 1 : 2;
  return options
    .listHosts()
    .filter(host => host.gateway && !host.leaving && !draining.has(host.name))
    .sort((a, b) => rank(a) - rank(b))
    .map(host => ({
      address: host.publicAddress,
      region: host.region,
      data_centre: host.dataCentre,
    }));
}
