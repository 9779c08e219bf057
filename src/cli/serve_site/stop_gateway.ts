/** Stops a gateway without cutting off a request that can still end. */
import type {Clock} from '../../protocol/clock.ts';
import type {Shutdown} from '../../coordination/forwarding/shutdown.ts';
import type {FrontServer} from '../../transport/forwarding/front_server.ts';
import {DIRECTORY_TTL_S} from './site_parts.ts';

/**
 * How long callers may use a list of gateways after its TTL has expired. A
 * stopping gateway refuses requests that arrive later, because their streams
 * might not end within the grace period.
 */
const STALE_LIST_MS = 1_200;

/** The part of the grace period reserved for closing connections. */
const CLOSE_MARGIN_MS = 700;

/** How long the answers to requests that were ended may take to be sent. */
const LAST_ANSWERS_MS = 150;

/** The interval at which a stopping gateway checks for open requests. */
const IDLE_CHECK_MS = 50;

export interface StopGatewayOptions {
  readonly clock: Clock;
  /** The time until the process is killed, in ms. */
  readonly graceMs: number;
  readonly server: Pick<
    FrontServer,
    'startClosing' | 'closeIdleConnections' | 'openRequests'
  >;
  readonly forwarder: {
    readonly shutdown: Pick<Shutdown, 'begin' | 'abort'>;
    startRefusing(): void;
  };
  /** Removes the gateway from the directory; logs its failures. */
  readonly report: () => Promise<void>;
}

/** Resolves once the gateway's connections may be closed. */
export async function stopGateway({
  clock,
  graceMs,
  server,
  forwarder,
  report,
}: StopGatewayOptions): Promise<void> {
  const startedAt = clock.monotonic();
  const endsAt = startedAt + graceMs - CLOSE_MARGIN_MS;
  forwarder.shutdown.begin(endsAt, {
    returnAt: startedAt + DIRECTORY_TTL_S * 1_000,
  });
  server.startClosing();
  // Callers' lists age while a core daemon that is slow has not answered.
  void report();
  const maxListAgeMs = DIRECTORY_TTL_S * 1_000 + STALE_LIST_MS;
  await clock.sleep(Math.min(maxListAgeMs, graceMs - CLOSE_MARGIN_MS));
  forwarder.startRefusing();
  server.closeIdleConnections();
  await waitUntilIdle(server, clock, endsAt);
  // What is still open would otherwise be cut off without an answer.
  forwarder.shutdown.abort();
  await waitUntilIdle(server, clock, endsAt + LAST_ANSWERS_MS);
}

/**
 * Waits until no request is open at two checks in a row: between them the
 * requests are read that arrived while the process was busy.
 */
async function waitUntilIdle(
  server: Pick<FrontServer, 'openRequests'>,
  clock: Clock,
  deadline: number,
): Promise<void> {
  let idleChecks = 0;
  while (clock.monotonic() < deadline) {
    idleChecks = server.openRequests > 0 ? 0 : idleChecks + 1;
    if (idleChecks === 2) return;
    await clock.sleep(IDLE_CHECK_MS);
  }
}
