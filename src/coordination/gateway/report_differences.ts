/**
 * Leaves out of a gateway's reports what the core daemon that it follows has: lists
 * that it got a short time ago, and observations that it has acknowledged.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {
  FollowReply,
  FollowReport,
  FollowRequest,
  GatewayReport,
} from '../../protocol/core_service.ts';
import type {SuspectRecord} from '../../protocol/suspect.ts';

/** The shortest time between two reports with loads and evidence, in ms. */
const LISTS_INTERVAL_MS = 200;

/** Some of what a gateway observed of suspects. */
export interface ObservedSuspects {
  readonly records: readonly SuspectRecord[];
  /** Up to which revision of the observations they are. */
  readonly revision: number;
}

export interface ReportDifferencesOptions {
  readonly clock: Clock;
  readonly createReport: () => GatewayReport;
  /** Lists recent observations after a revision; by default none. */
  readonly listObserved?: ((revision: number) => ObservedSuspects) | undefined;
  /** Called when the followed daemon may know nothing of earlier reports. */
  readonly onEpoch?: (() => void) | undefined;
}

/** A report, and whether the gateway has requests open. */
export interface CreatedReport {
  readonly report: FollowReport;
  readonly isBusy: boolean;
}

export class ReportDifferences {
  /** The run of a daemon that the rest is about. */
  private epoch = '';
  /** Whether it keeps the lists that a report leaves out. */
  private keepsReports = false;
  private listsAt = -Infinity;
  private acknowledged = 0;
  /** Up to which revision reports tell of observations. */
  private readonly revisions = new WeakMap<FollowReport, number>();

  constructor(private readonly options: ReportDifferencesOptions) {}

  /** Creates the report for a run of a daemon; whole for one that is not known. */
  create(epoch: string): CreatedReport {
    const {clock, createReport, listObserved} = this.options;
    const isKnown = epoch !== '' && epoch === this.epoch && this.keepsReports;
    const {loads, evidence, paces, ...rest} = createReport();
    const observed = listObserved?.(isKnown ? this.acknowledged : 0);
    const now = clock.monotonic();
    const hasLists = isKnown && now - this.listsAt < LISTS_INTERVAL_MS;
    if (isKnown && !hasLists) this.listsAt = now;
    const report: FollowReport = {
      ...rest,
      ...(hasLists ? {} : {loads, evidence, paces}),
      suspects: [...(observed?.records ?? rest.suspects)],
    };
    if (observed) this.revisions.set(report, observed.revision);
    return {report, isBusy: loads.length > 0};
  }

  /** Records that the followed daemon answered a call. */
  recordReply({report, epoch}: FollowRequest, reply: FollowReply): void {
    const revision = this.revisions.get(report) ?? 0;
    const isSameRun = reply.epoch === this.epoch && epoch === this.epoch;
    this.acknowledged = isSameRun
      ? Math.max(this.acknowledged, revision)
      : revision;
    if (!isSameRun) this.listsAt = -Infinity;
    if (reply.epoch !== epoch) this.options.onEpoch?.();
    this.epoch = reply.epoch;
    this.keepsReports = reply.keepsReports ?? false;
  }

  /** Records that a call failed: the daemon may lack what it carried. */
  recordFailure(): void {
    this.listsAt = -Infinity;
  }
}
