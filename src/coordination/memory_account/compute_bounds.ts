/** Computes the bounds of memory and connections that a host bears. */
import {computeLargestHeaderCost} from './header_cost.ts';

const MIB = 1024 * 1024;

/** What hosts of deployments have that do not say it, in MiB. */
const DEFAULT_MEMORY_MIB = 250;

/** What a daemon takes without callers, with its program and heap, in MiB. */
const BASE_MIB = 128;

/** The rest is left to garbage that is not yet collected and to short peaks. */
const BUDGET_SHARE = 0.35;

/** Fits the largest document of 8 MiB three times: received, joined and as text. */
const MIN_BUDGET_MIB = 26;

/** Fits the largest document, joined, beside its parts and as text. */
const MIN_SHARE_MIB = 25;

/** The share of the budget that one connection may hold. */
const CONNECTION_SHARE = 1 / 8;

/** The share of the budget that header sections of many lines may hold. */
const HEADER_SHARE = 1 / 4;

/** The largest header section that a configuration may allow, in bytes. */
export const MAX_HEADER_BYTES = 64 * 1024;

export interface MemoryBounds {
  readonly budgetBytes: number;
  readonly shareBytes: number;
  readonly headerBytes: number;
}

/** @param memoryMib What the host has; that of ordinary hosts by default. */
export function computeMemoryBounds(
  memoryMib: number = DEFAULT_MEMORY_MIB,
): MemoryBounds {
  const budgetMib = Math.max(
    MIN_BUDGET_MIB,
    (memoryMib - BASE_MIB) * BUDGET_SHARE,
  );
  const shareMib = Math.max(MIN_SHARE_MIB, budgetMib * CONNECTION_SHARE);
  return {
    budgetBytes: budgetMib * MIB,
    shareBytes: shareMib * MIB,
    headerBytes: Math.max(
      budgetMib * HEADER_SHARE * MIB,
      computeLargestHeaderCost(MAX_HEADER_BYTES),
    ),
  };
}

/** What a request of an ordinary size takes, in bytes. */
const ORDINARY_REQUEST_BYTES = 64 * 1024;

/** What a body takes at the most, received in bad chunks and then joined. */
const BODY_FACTOR = 3.1;

/** Computes what the largest request with such a body takes, in bytes. */
export function computeLargestRequest(maxBodyBytes: number): number {
  return maxBodyBytes * BODY_FACTOR + ORDINARY_REQUEST_BYTES;
}

/**
 * The shares of the descriptors that the connections to each address may take. The
 * rest is for endpoints, other daemons and files.
 */
const DESCRIPTOR_SHARES = {
  front: 0.4,
  control: 0.4,
  directory: 0.12,
  peers: 0.2,
  ready: 0.04,
  metrics: 0.04,
} as const;

/** An address of a daemon. */
export type Surface = keyof typeof DESCRIPTOR_SHARES;

/** What each address may have at the least. */
const MIN_CONNECTIONS = 16;

/** Computes the most connections that each address accepts. */
export function computeConnectionBounds(
  descriptors: number,
): Record<Surface, number> {
  const compute = (surface: Surface) =>
    Math.max(
      MIN_CONNECTIONS,
      Math.floor(descriptors * DESCRIPTOR_SHARES[surface]),
    );
  return {
    front: compute('front'),
    control: compute('control'),
    directory: compute('directory'),
    peers: compute('peers'),
    ready: compute('ready'),
    metrics: compute('metrics'),
  };
}
