/** A change that waits until all gateways obey it. */
import type {
  ConfirmReply,
  ConfirmRequest,
} from '../../protocol/confirmation.ts';
import {isSaved} from './confirm_service.ts';
import type {HeardCall, KnownGateway} from './known_gateways.ts';

/** What gateways must have. */
export type RequiredChange = Omit<ConfirmRequest, 'waitMs'>;

/** What a core daemon told in reply to a question. */
export interface HeardReply {
  readonly address: string;
  /** The daemon and its run. */
  readonly at: string;
  readonly configurationRevision: number;
  /** The revision of its endpoints that followers must have. */
  readonly endpointRevision: number;
  /** Whether its disk holds the departures that were asked for. */
  readonly isSaved: boolean;
  readonly calls: ReadonlyMap<string, HeardCall>;
}

/**
 * Reads a reply. Daemons of earlier versions tell only whether followers have all
 * that was asked for: their revisions are replaced by 1 and 0, which hold for this
 * question only.
 */
export function readReply(
  reply: ConfirmReply,
  {
    address,
    asked,
    now,
    question,
  }: {
    readonly address: string;
    readonly asked: RequiredChange;
    readonly now: number;
    /** The number of the question. */
    readonly question: number;
  },
): HeardReply {
  const {configurationRevision} = asked;
  const hasRevisions = reply.run !== undefined;
  const at = `${address} ${reply.run ?? `question ${question}`}`;
  return {
    address,
    at,
    configurationRevision:
      reply.configurationRevision ?? (reply.isHeld ? configurationRevision : 0),
    endpointRevision: reply.endpointRevision ?? 1,
    isSaved: isSaved(reply),
    calls: new Map(
      reply.followers.map(follower => [
        follower.address,
        {
          at,
          atMs: now - follower.ageMs,
          run: follower.run,
          configurationRevision: hasRevisions
            ? (follower.configurationRevision ?? 0)
            : follower.isConfirmed
              ? configurationRevision
              : 0,
          endpointRevision: hasRevisions
            ? (follower.endpointRevision ?? 0)
            : Number(follower.isConfirmed),
        },
      ]),
    ),
  };
}

export class WaitingChange {
  /** The daemons that need not be waited for to know all gateways. */
  private readonly heard: Set<string>;
  private readonly holders = new Set<string>();
  /** The revision of endpoints that followers must have, by daemon and run. */
  private readonly required = new Map<string, number>();

  constructor(
    readonly what: RequiredChange,
    private readonly cores: readonly string[],
    silent: readonly string[],
  ) {
    this.heard = new Set(silent);
  }

  /** Whether a majority of the core daemons has the change, on its disks. */
  get isHeld(): boolean {
    return 2 * this.holders.size > this.cores.length;
  }

  /** Whether all core daemons that answer have been heard. */
  get isHeard(): boolean {
    return this.cores.every(address => this.heard.has(address));
  }

  /** Records that a daemon was asked without a reply. */
  recordFailure(address: string): void {
    this.heard.add(address);
  }

  /** Records that a daemon of an earlier version got the departures. */
  recordPassedOn(address: string): void {
    this.holders.add(address);
    this.heard.add(address);
  }

  /** Records the reply to a question that included this change. */
  recordReply(reply: HeardReply): void {
    const {address, at, configurationRevision, endpointRevision} = reply;
    this.heard.add(address);
    const hasConfiguration =
      configurationRevision >= this.what.configurationRevision;
    const hasDepartures = this.what.departures.length === 0 || reply.isSaved;
    if (hasConfiguration && hasDepartures) this.holders.add(address);
    const known = this.required.get(at) ?? Infinity;
    this.required.set(at, Math.min(known, endpointRevision));
  }

  /** Whether a gateway has the change, by its calls. */
  isConfirmedBy(gateway: KnownGateway | undefined): boolean {
    if (!gateway) return false;
    const {configurationRevision, departures} = this.what;
    if (gateway.configurationRevision < configurationRevision) return false;
    if (departures.length === 0) return true;
    return [...gateway.calls].some(
      ([at, {endpointRevision}]) =>
        endpointRevision >= (this.required.get(at) ?? Infinity),
    );
  }
}
