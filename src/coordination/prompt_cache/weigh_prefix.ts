/**
 * Weighs what a cached prompt prefix saves against the wait at its holder.
 *
 * Pure: it gives the expected prefill and wait of a request at one engine. The
 * choice among engines compares them with their speed and distance.
 */
import type {PrefillPlan} from '../forwarding/plan_prefill.ts';
import {estimateSlotWaitMs, type SlotWaitOptions} from './engine_memory.ts';

/** One link of a prompt's chain at an engine. */
export interface LinkAtEngine {
  /** The tokens of the link's last part that the engine may have. */
  readonly tokens: number;
  /** The probability that the engine has the prefix, 0 to 1. */
  readonly probability: number;
}

export interface WeighPrefixOptions {
  readonly promptTokens: number;
  /** The links of the chain at the engine, shortest prefix first. */
  readonly links: readonly LinkAtEngine[];
  readonly msPerToken: number;
  /** The prefill backlog in front of the request, in ms. */
  readonly backlogMs: number;
  /** Requests of other gateways, as last reported. */
  readonly others: number;
}

export interface WeighedPrefix {
  readonly plan: PrefillPlan;
  readonly waitMs: number;
  /** The standard deviation of the wait, in ms. */
  readonly waitSpreadMs: number;
}

/** The mean age of the reports of other gateways' requests, in ms. */
const REPORT_AGE_MS = 500;

/** Computes the expected prefill and wait of a request at an engine. */
export function weighPrefix(
  place: SlotWaitOptions,
  {promptTokens, links, msPerToken, backlogMs, others}: WeighPrefixOptions,
): WeighedPrefix {
  const uncachedTokens = Math.max(0, promptTokens - countCachedTokens(links));
  // The requests that others sent since they reported are not known.
  const unseen = (others * REPORT_AGE_MS) / Math.max(1, place.holdMs);
  return {
    plan: {uncachedTokens, ms: uncachedTokens * msPerToken},
    waitMs: backlogMs + estimateSlotWaitMs(place),
    waitSpreadMs: Math.sqrt(unseen) * uncachedTokens * msPerToken,
  };
}

/**
 * Counts the tokens that an engine is expected to have cached. One that has a
 * prefix has all shorter ones, since they are used whenever it is.
 */
export function countCachedTokens(links: readonly LinkAtEngine[]): number {
  let cachedTokens = 0;
  let probability = 0;
  for (let index = links.length - 1; index >= 0; index--) {
    const link = links[index]!;
    probability = Math.max(probability, link.probability);
    cachedTokens += link.tokens * probability;
  }
  return cachedTokens;
}
