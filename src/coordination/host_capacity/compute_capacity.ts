/** Computes what the host of a gateway bears. */
import {MAX_HOST_CAPACITY} from '../../protocol/gateway_entry.ts';

/** What a host has; absent fields are unknown. */
export interface HostLimits {
  /** The share of a core. */
  readonly cpuShare?: number | undefined;
  readonly memoryMib?: number | undefined;
  readonly descriptors?: number | undefined;
  readonly linkMbps?: number | undefined;
}

/** The capacity of an ordinary host, in percent. */
const ORDINARY_PERCENT = 100;

/**
 * An ordinary host. Each request needs both its processor and its link, so the
 * scarcer of them decides. Memory and descriptors are needed by open requests only;
 * a host that runs short of them reports that it is slow.
 */
const ORDINARY_CPU_SHARE = 0.5;
const ORDINARY_LINK_MBPS = 10;

/**
 * Returns the requests that a host bears in percent of those of an ordinary one;
 * `undefined` if neither its processor nor its link is known.
 */
export function computeCapacity({
  cpuShare,
  linkMbps,
}: HostLimits): number | undefined {
  const ratios = [
    cpuShare === undefined ? Infinity : cpuShare / ORDINARY_CPU_SHARE,
    linkMbps === undefined ? Infinity : linkMbps / ORDINARY_LINK_MBPS,
  ];
  const ratio = Math.min(...ratios);
  if (ratio === Infinity) return undefined;
  const percent = Math.round(ratio * ORDINARY_PERCENT);
  return Math.min(MAX_HOST_CAPACITY, Math.max(1, percent));
}
