/** Network links between data centres, as the proxy emulates them. */
import type {LinkOptions} from '../proxy/fault_proxy.ts';
import {SharedLink} from '../proxy/pipe.ts';

export interface NetworkOptions {
  /** One-way latency between data centres of a region. */
  readonly dataCentreMs?: number;
  /** One-way latency between regions. */
  readonly regionMs?: number;
  /** One-way latency to callers. */
  readonly callerMs?: number;
  /** The bandwidth between two regions, in each direction. */
  readonly regionBytesPerSecond?: number;
}

/** A process and the data centre it runs in. */
export interface LocatedProcess {
  readonly name: string;
  readonly region: string;
  readonly dataCentre: string;
}

/** The default bandwidth between regions: 20 Mbit/s. */
const REGION_BYTES_PER_SECOND = 2_500_000;

/** Returns a function that describes the link between two processes. */
export function createNetwork(
  processes: readonly LocatedProcess[],
  options: NetworkOptions,
): (from: string, to: string) => LinkOptions {
  const processByName = new Map(processes.map(each => [each.name, each]));
  const links = new Map<string, SharedLink>();
  const capacity = options.regionBytesPerSecond ?? REGION_BYTES_PER_SECOND;
  const getLink = (from: string, to: string) => {
    const key = `${from}>${to}`;
    const link = links.get(key) ?? new SharedLink(capacity);
    links.set(key, link);
    return link;
  };
  return (from, to) => {
    const a = processByName.get(from);
    const b = processByName.get(to);
    if (!a || !b) return {delayMs: options.callerMs ?? 0};
    if (a.region !== b.region) {
      return {
        delayMs: options.regionMs ?? 0,
        link: {
          toServer: getLink(a.region, b.region),
          toClient: getLink(b.region, a.region),
        },
      };
    }
    const apart = a.dataCentre !== b.dataCentre;
    return {delayMs: apart ? options.dataCentreMs : 0};
  };
}
