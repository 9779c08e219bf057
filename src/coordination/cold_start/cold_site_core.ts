/** A core daemon of a simulated site with cold endpoints. */
import type {Clock} from '../../protocol/clock.ts';
import type {FollowReply, FollowRequest} from '../../protocol/core_service.ts';
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {FollowerTable} from '../confirmation/follower_table.ts';
import {CoreState} from '../core/core_state.ts';
import {createFollowService} from '../core/follow_service.ts';
import {PeerOutbox} from '../core/peer_outbox.ts';

const SWEEP_MS = 500;

export interface ColdSiteCoreOptions {
  readonly clock: Clock;
  readonly index: number;
  /** Identifies one run of the daemon. */
  readonly epoch: string;
}

export class ColdSiteCore {
  readonly state: CoreState;
  /** Until when it is cut off from all others. */
  cutUntil = -Infinity;
  private readonly serveFollow: ReturnType<typeof createFollowService>;
  private readonly outboxes = new Map<ColdSiteCore, PeerOutbox>();
  private exchangedAt: number;
  private urgentSince = Infinity;
  private sweptAt = -Infinity;

  constructor(private readonly options: ColdSiteCoreOptions) {
    const {clock, index, epoch} = options;
    this.exchangedAt = clock.monotonic();
    this.state = new CoreState({
      clock,
      logger: silentLogger,
      self: {
        address: `c${index}`,
        region: 'r0',
        dataCentre: 'd0',
        controlAddress: '',
      },
    });
    this.serveFollow = createFollowService({
      state: this.state,
      clock,
      epoch,
      getConfiguration: () => ({
        revision: 1,
        version: 1,
        document: '',
        rollouts: [],
      }),
      isFresh: () => this.cutUntil <= clock.monotonic(),
      followers: new FollowerTable({clock, epoch}),
    });
    void this.watchUrgent();
  }

  follow(request: FollowRequest): Promise<FollowReply> {
    return this.serveFollow(request);
  }

  sweep(): void {
    const now = this.options.clock.monotonic();
    if (now - this.sweptAt < SWEEP_MS) return;
    this.sweptAt = now;
    this.state.endpoints.sweep();
  }

  /** Whether the next exchange is due; begins it if so. */
  isExchangeDue({
    urgentMs,
    intervalMs,
  }: {
    urgentMs: number;
    intervalMs: number;
  }): boolean {
    const now = this.options.clock.monotonic();
    const isDue =
      now - this.exchangedAt >= intervalMs ||
      now - this.urgentSince >= urgentMs;
    if (!isDue) return false;
    this.exchangedAt = now;
    this.urgentSince = Infinity;
    return true;
  }

  takeReports(): EndpointReport[] {
    return this.state.takePendingReports();
  }

  /** Sends another daemon what changed since the last time. */
  exchange(
    peer: ColdSiteCore,
    {
      reports,
      isCut,
      intervalMs,
    }: {reports: EndpointReport[]; isCut: boolean; intervalMs: number},
  ): void {
    const known = this.outboxes.get(peer);
    const outbox = known ?? new PeerOutbox(this.state);
    this.outboxes.set(peer, outbox);
    outbox.add(reports);
    if (isCut) return;
    const now = this.options.clock.monotonic();
    const wantsAll = known === undefined;
    const sent = outbox.createExchange({now, intervalMs, wantsAll});
    const reply = peer.state.receiveExchange(sent.content);
    outbox.recordReply(sent, reply);
    this.state.mergeExchange(reply, peer.state.self.address);
  }

  private async watchUrgent(): Promise<void> {
    for (;;) {
      await this.state.urgentChanges.wait(1e9);
      const now = this.options.clock.monotonic();
      this.urgentSince = Math.min(this.urgentSince, now);
    }
  }
}
