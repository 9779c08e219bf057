/**
 * Plans how an engine comes by the shared part of a prompt: it keeps it, takes
 * it over from an engine that keeps it, or reads it again.
 */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Engine} from '../../protocol/route_table.ts';

/** What an engine has to do before it can begin an answer. */
export interface ReadingPlan {
  /** How long it reads and takes over, in ms. */
  readonly ms: number;
  /** What that costs others: its time, and the links' time, in ms. */
  readonly costMs: number;
  /** The tokens that it reads as far as known. */
  readonly unreadTokens: number;
  /** The endpoint that it takes the shared part from; `null` for none. */
  readonly source: EndpointEntry | null;
}

export interface PlanReadingOptions {
  readonly engine: Engine | null;
  readonly endpoint: EndpointEntry;
  /** How sure it is to keep the shared part, from 0 to 1. */
  readonly keepsPrompt: number;
  /** An endpoint that surely keeps the shared part; `null` without one. */
  readonly holder: EndpointEntry | null;
  /** Tokens that the prompt shares with others. */
  readonly sharedTokens: number;
  /** Tokens that are the request's own. */
  readonly ownTokens: number;
  /** How long the engine reads a token, in ms. */
  readonly tokenMs: number;
}

/** What an ms of the links between engines costs, against an engine's. */
const LINK_WEIGHT = 2000;

/** Shared parts below this, in ms of reading, are not worth a transfer. */
const MIN_TRANSFER_MS = 100;

/** Chooses the cheapest way. */
export function planReading(options: PlanReadingOptions): ReadingPlan {
  const {sharedTokens, ownTokens, keepsPrompt, tokenMs} = options;
  const ownMs = ownTokens * tokenMs;
  const againMs = sharedTokens * (1 - keepsPrompt) * tokenMs;
  const transferMs = estimateTransferMs(options);
  if (againMs >= MIN_TRANSFER_MS && transferMs * LINK_WEIGHT < againMs) {
    return {
      ms: ownMs + transferMs,
      costMs: ownMs + transferMs * LINK_WEIGHT,
      unreadTokens: ownTokens,
      source: options.holder,
    };
  }
  return {
    ms: ownMs + againMs,
    costMs: ownMs + againMs,
    unreadTokens: ownTokens + sharedTokens * (1 - keepsPrompt),
    source: null,
  };
}

/** How long the shared part takes from its holder, in ms. */
function estimateTransferMs({
  engine,
  endpoint,
  holder,
  sharedTokens,
}: PlanReadingOptions): number {
  const link = engine?.link;
  if (!link || !holder || holder.id === endpoint.id) return Infinity;
  const bits = sharedTokens * link.tokenBytes * 8;
  const ms = bits / (link.mbitPerS * 1_000);
  // Between data centres a transfer takes twice as long.
  return holder.dataCentre === endpoint.dataCentre ? ms : 2 * ms;
}
