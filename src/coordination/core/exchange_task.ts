/** Sends the reports that this core daemon received to the other ones. */
import type {Clock} from '../../protocol/clock.ts';
import type {
  CoreExchange,
  CoreExchangeReply,
} from '../../protocol/core_service.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {CoreState} from './core_state.ts';
import {countExchangeEntries, type EntryMeter} from './entry_meter.ts';
import {PeerOutbox} from './peer_outbox.ts';

/** The interval of exchanges without urgent changes. */
const INTERVAL_MS = 800;

/** The shortest interval while gateways have requests open. */
const BUSY_INTERVAL_MS = 200;

/** The busy interval per open gateway: bounds the load that they cause. */
const INTERVAL_MS_PER_GATEWAY = 20;

/**
 * How long urgent changes are collected to be sent in one batch, and the shortest
 * time between two urgent batches.
 */
const BATCH_DELAY_MS = 15;
const BATCH_INTERVAL_MS = 200;

/**
 * The least time between two requests for the whole state of a peer whose calls failed:
 * many of them fail together when this daemon, or its links, are short of time.
 */
const RESYNC_INTERVAL_MS = 1_000;

/** The timeout of an exchange with one daemon. */
const CALL_TIMEOUT_MS = 1_000;

export interface ExchangeTaskOptions {
  readonly state: CoreState;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Counts what is sent; by default nothing does. */
  readonly entries?: EntryMeter | undefined;
  readonly call: (
    address: string,
    exchange: CoreExchange,
    timeoutMs: number,
  ) => Promise<CoreExchangeReply>;
}

interface PeerProgress {
  readonly outbox: PeerOutbox;
  /** Whether the complete state of the peer has been merged. */
  isSynced: boolean;
  /** Whether it was merged once. */
  hasSynced: boolean;
  isBusy: boolean;
  /** Whether the last call to the peer failed. */
  isUnreachable: boolean;
}

/** Starts the exchange; dispose it to stop. */
export function startExchange(options: ExchangeTaskOptions): AsyncDisposable {
  const stopped = new AbortController();
  const task = runExchange(options, stopped.signal);
  return {
    async [Symbol.asyncDispose]() {
      stopped.abort();
      options.state.urgentChanges.notify();
      await task;
    },
  };
}

async function runExchange(
  options: ExchangeTaskOptions,
  signal: AbortSignal,
): Promise<void> {
  const {state, clock} = options;
  const peers = new Map<string, PeerProgress>();
  const resync = {atMs: -Infinity};
  let urgentAt = -Infinity;
  while (!signal.aborted) {
    const intervalMs = computeIntervalMs(state);
    const reports = state.takePendingReports();
    const addresses = state.members.listAddresses();
    for (const address of peers.keys()) {
      if (!addresses.includes(address)) peers.delete(address);
    }
    for (const address of addresses) {
      const peer = peers.get(address) ?? createProgress(state);
      peers.set(address, peer);
      peer.outbox.add(reports);
      if (peer.isBusy) continue;
      void exchangeWith(options, {address, peer, resync, intervalMs});
    }
    const waitsSince = clock.monotonic();
    await state.urgentChanges.wait(intervalMs);
    const now = clock.monotonic();
    const isUrgent = now - waitsSince < intervalMs;
    const nextMs = isUrgent ? urgentAt + BATCH_INTERVAL_MS - now : 0;
    await clock.sleep(Math.max(BATCH_DELAY_MS, nextMs), signal);
    if (isUrgent) urgentAt = clock.monotonic();
  }
}

function computeIntervalMs({gateways}: CoreState): number {
  if (!gateways.hasLoads()) return INTERVAL_MS;
  const ms = gateways.findOpen().list.length * INTERVAL_MS_PER_GATEWAY;
  return Math.min(INTERVAL_MS, Math.max(BUSY_INTERVAL_MS, ms));
}

function createProgress(state: CoreState): PeerProgress {
  return {
    outbox: new PeerOutbox(state),
    isSynced: false,
    hasSynced: false,
    isBusy: false,
    isUnreachable: false,
  };
}

interface Partner {
  readonly address: string;
  readonly peer: PeerProgress;
  /** When any peer was asked for its whole state once more. */
  readonly resync: {atMs: number};
  /** The interval at which all reports of gateways are sent, in ms. */
  readonly intervalMs: number;
}

async function exchangeWith(
  {state, clock, logger, entries, call}: ExchangeTaskOptions,
  {address, peer, resync, intervalMs}: Partner,
): Promise<void> {
  peer.isBusy = true;
  const startedAt = clock.monotonic();
  const isResyncDue = startedAt - resync.atMs >= RESYNC_INTERVAL_MS;
  const wantsAll = !peer.isSynced && (!peer.hasSynced || isResyncDue);
  if (wantsAll && peer.hasSynced) resync.atMs = startedAt;
  const now = startedAt;
  const sent = peer.outbox.createExchange({now, intervalMs, wantsAll});
  entries?.record('exchange', countExchangeEntries(sent.content));
  try {
    const reply = await call(address, sent.content, CALL_TIMEOUT_MS);
    peer.outbox.recordReply(sent, reply);
    state.mergeExchange(reply, address);
    if (peer.isUnreachable || wantsAll) {
      logger.info('Begins to exchange state with a core daemon.', {address});
    }
    if (wantsAll) peer.isSynced = peer.hasSynced = true;
    peer.isUnreachable = false;
  } catch (error) {
    const reason = (error as Error).message;
    if (!peer.isUnreachable) {
      logger.warn('Could not exchange state with a core daemon; retries.', {
        address,
        reason,
      });
    }
    peer.isUnreachable = true;
    // It may have received what its daemon could not send to this one any more.
    peer.isSynced = false;
  } finally {
    peer.isBusy = false;
  }
}
