/**
 * The gateways that follow one core daemon, and what each of them has confirmed.
 *
 * A gateway confirms what it acts on with each of its calls: the revision of the
 * configuration, and that of this daemon's list of endpoints.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Confirmation} from '../../protocol/confirmation.ts';
import type {FollowRequest} from '../../protocol/core_service.ts';
import {createNotifier, type Notifier} from '../notifier.ts';

/**
 * The longest time between two calls of a gateway that is in contact: the hold,
 * and the time until a late answer makes it call another daemon.
 */
export const IN_USE_MS = 1_500;

/** How long the last confirmation of a gateway is retained. */
const RETAIN_MS = 10_000;

interface Follower {
  readonly atMs: number;
  /** Identifies the run of the gateway; absent from earlier versions. */
  readonly run: string | undefined;
  /** Whether its revision of endpoints is one of this run of the daemon. */
  readonly isSameRun: boolean;
  readonly endpointRevision: number;
  readonly configurationRevision: number;
  /** Whether it follows another daemon since. */
  readonly hasLeft: boolean;
  /** When it got the last reply. */
  readonly repliedAt: number;
}

/** What a gateway must have to obey a change. */
export interface RequiredRevisions {
  readonly configuration: number;
  /** The daemon's own revision of its endpoints; 0 for any. */
  readonly endpoints: number;
}

export interface FollowerTableOptions {
  readonly clock: Clock;
  /** Identifies the run of this daemon, as the prefix of its epochs. */
  readonly epoch: string;
}

export class FollowerTable {
  /** Notified when a gateway calls. */
  readonly calls: Notifier;
  private readonly followers = new Map<string, Follower>();

  constructor(private readonly options: FollowerTableOptions) {
    this.calls = createNotifier(options.clock);
  }

  /** Identifies the run of this daemon. */
  get epoch(): string {
    return this.options.epoch;
  }

  /** Records a call of a gateway. */
  record({
    report,
    run,
    epoch,
    endpointRevision,
    configurationRevision,
    leaves = false,
  }: Pick<
    FollowRequest,
    | 'report'
    | 'run'
    | 'epoch'
    | 'endpointRevision'
    | 'configurationRevision'
    | 'leaves'
  >): void {
    const {address} = report.gateway;
    this.followers.set(address, {
      atMs: this.options.clock.monotonic(),
      run,
      isSameRun: epoch.startsWith(this.options.epoch),
      endpointRevision,
      configurationRevision,
      hasLeft: leaves,
      repliedAt: this.getRepliedAt(address),
    });
    this.calls.notify();
  }

  /** Returns when a gateway got its last reply, on the monotonic clock. */
  getRepliedAt(address: string): number {
    return this.followers.get(address)?.repliedAt ?? -Infinity;
  }

  /** Records a reply to a gateway. */
  recordReply(address: string): void {
    const known = this.followers.get(address);
    if (!known) return;
    const repliedAt = this.options.clock.monotonic();
    this.followers.set(address, {...known, repliedAt});
  }

  /** Counts the gateways that follow this daemon now. */
  count(): number {
    const oldest = this.options.clock.monotonic() - IN_USE_MS;
    const all = [...this.followers.values()];
    return all.filter(({atMs, hasLeft}) => atMs >= oldest && !hasLeft).length;
  }

  /**
   * Lists what gateways have confirmed of a change. What one that left had not
   * confirmed says nothing: another daemon knows more, though its call may be older.
   */
  list(required: RequiredRevisions): Confirmation[] {
    const now = this.options.clock.monotonic();
    for (const [address, {atMs}] of this.followers) {
      if (now - atMs > RETAIN_MS) this.followers.delete(address);
    }
    return [...this.followers].flatMap(([address, follower]) => {
      const isConfirmed = hasAll(follower, required);
      if (follower.hasLeft && !isConfirmed) return [];
      const {run, configurationRevision, isSameRun} = follower;
      return [
        {
          address,
          run,
          ageMs: now - follower.atMs,
          isConfirmed,
          configurationRevision,
          endpointRevision: isSameRun ? follower.endpointRevision : 0,
        },
      ];
    });
  }
}

function hasAll(
  {configurationRevision, endpointRevision, isSameRun}: Follower,
  {configuration, endpoints}: RequiredRevisions,
): boolean {
  if (configurationRevision < configuration) return false;
  if (endpoints === 0) return true;
  return isSameRun && endpointRevision >= endpoints;
}
