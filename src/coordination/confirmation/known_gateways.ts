/**
 * What gateways have, by their calls to any core daemon.
 *
 * A run of a gateway goes back on nothing that it has confirmed, so each of its calls
 * counts, in whatever order they are heard of: their times differ by what replies take
 * on their way. A new run confirms anew. Gateways and core daemons of earlier versions
 * do not tell the run; of their calls only the last one counts.
 */

/** A call of a gateway, as told by the core daemon that it went to. */
export interface HeardCall {
  /** The daemon and its run. */
  readonly at: string;
  readonly atMs: number;
  /** Identifies the run of the gateway. */
  readonly run: string | undefined;
  readonly configurationRevision: number;
  readonly endpointRevision: number;
}

export interface KnownGateway {
  readonly run: string | undefined;
  /** When it called last. */
  readonly atMs: number;
  readonly configurationRevision: number;
  /** The call with the highest revision of endpoints, by daemon and run. */
  readonly calls: ReadonlyMap<string, HeardCall>;
}

export class KnownGateways {
  private readonly gateways = new Map<string, KnownGateway>();

  /** Finds what a gateway has; `undefined` if it was not heard of. */
  find(address: string): KnownGateway | undefined {
    return this.gateways.get(address);
  }

  /** Lists the gateways that called after a time. */
  listAfter(ms: number): string[] {
    return [...this.gateways]
      .filter(([, {atMs}]) => atMs > ms)
      .map(([address]) => address);
  }

  record(address: string, call: HeardCall): void {
    const known = this.gateways.get(address);
    if (known && call.run !== undefined && known.run === call.run) {
      this.gateways.set(address, mergeCall(known, call));
    } else if (!known || known.atMs <= call.atMs) {
      const {run, atMs, configurationRevision} = call;
      const calls = new Map([[call.at, call]]);
      this.gateways.set(address, {run, atMs, configurationRevision, calls});
    }
  }

  /** Forgets calls before a time. */
  prune(oldestMs: number): void {
    for (const [address, known] of this.gateways) {
      if (known.atMs < oldestMs) {
        this.gateways.delete(address);
        continue;
      }
      const calls = [...known.calls].filter(([, {atMs}]) => atMs >= oldestMs);
      this.gateways.set(address, {...known, calls: new Map(calls)});
    }
  }
}

function mergeCall(known: KnownGateway, call: HeardCall): KnownGateway {
  const earlier = known.calls.get(call.at);
  const best =
    earlier && earlier.endpointRevision > call.endpointRevision
      ? {...earlier, atMs: Math.max(earlier.atMs, call.atMs)}
      : call;
  return {
    run: known.run,
    atMs: Math.max(known.atMs, call.atMs),
    configurationRevision: Math.max(
      known.configurationRevision,
      call.configurationRevision,
    ),
    calls: new Map([...known.calls, [call.at, best]]),
  };
}
