/** Evaluates how slow the host of a gateway is, from measurements of its process. */
import {MAX_HOST_SLOWNESS} from '../../protocol/gateway_entry.ts';
import type {HostLimits} from './compute_capacity.ts';

/** What a process measured of itself over a short window. */
export interface HostSample {
  /** The share of the ticks of the event loop that came, 0 to 1. */
  readonly punctuality: number;
  /** The processor time used, as a share of a core. */
  readonly coreShare: number;
  readonly memoryMib: number;
  /** Requests of callers that are open. */
  readonly openRequests: number;
}

/** The resource that is short. */
export type SlowCause = 'event-loop' | 'processor' | 'memory' | 'descriptors';

export interface HostSlowness {
  /** 0 if the host is not slow; each level halves what it is given. */
  readonly level: number;
  readonly cause: SlowCause | null;
}

/**
 * The punctuality below which a host has a level, first level first. A host that is
 * not slow has 0.95 or more; one full collection of garbage in half a second leaves
 * over 0.75.
 */
const LATE_BELOW = [0.75, 0.5, 0.3] as const;

/** The share of a resource from which on a host has a level, first level first. */
const PROCESSOR_FROM = [0.9, 1.3] as const;
const MEMORY_FROM = [0.9, 0.96] as const;
const DESCRIPTORS_FROM = [0.85, 0.95] as const;

/** An open request has a connection of its caller and one to its endpoint. */
const DESCRIPTORS_PER_REQUEST = 2;

/** Descriptors of a process without requests: files, other daemons, idle pools. */
const BASE_DESCRIPTORS = 128;

/** The use of the processor that a lower level may lead to: under the threshold. */
const PROCESSOR_RETURN = 0.8;

/**
 * Returns how slow a host is.
 *
 * @param level The level in force: with less work a processor looks idle, so its use
 *   counts as if the host had all of its work.
 */
export function evaluateSlowness(
  sample: HostSample,
  limits: HostLimits,
  level: number,
): HostSlowness {
  const {punctuality, coreShare, memoryMib, openRequests} = sample;
  const usedDescriptors =
    BASE_DESCRIPTORS + DESCRIPTORS_PER_REQUEST * openRequests;
  const used = computeUsed(coreShare, limits.cpuShare);
  const levels: ReadonlyArray<[SlowCause, number]> = [
    ['event-loop', LATE_BELOW.filter(below => punctuality < below).length],
    ['processor', countLevels(PROCESSOR_FROM, used)],
    ['processor', findBearable(used, level)],
    [
      'memory',
      countLevels(MEMORY_FROM, computeUsed(memoryMib, limits.memoryMib)),
    ],
    [
      'descriptors',
      countLevels(
        DESCRIPTORS_FROM,
        computeUsed(usedDescriptors, limits.descriptors),
      ),
    ],
  ];
  let worst: HostSlowness = {level: 0, cause: null};
  for (const [cause, each] of levels) {
    if (each > worst.level) worst = {level: each, cause};
  }
  return {...worst, level: Math.min(MAX_HOST_SLOWNESS, worst.level)};
}

/** Finds the lowest level whose work the processor bears; each one doubles it. */
function findBearable(used: number, level: number): number {
  for (let lower = 0; lower < level; lower++) {
    if (used * 2 ** (level - lower) < PROCESSOR_RETURN) return lower;
  }
  return level;
}

function computeUsed(value: number, limit: number | undefined): number {
  return limit === undefined ? 0 : value / limit;
}

function countLevels(from: readonly number[], used: number): number {
  return from.filter(each => used >= each).length;
}
