/** Reports a gateway's evidence and demand to the leader. */
import type {Clock} from '../../protocol/clock.ts';
import type {ControlView} from '../../protocol/control.ts';
import {formatVersion} from '../../protocol/declaration.ts';
import type {EvidenceReport} from '../../protocol/rollout_state.ts';
import type {EvidenceCollector} from './evidence_collector.ts';
import {startPeriodicTask} from '../periodic_task.ts';

/** The interval at which changed evidence is sent. */
const REPORT_INTERVAL_MS = 1_000;

/** The interval at which the demand for versions is sent. */
const DEMAND_INTERVAL_MS = 10_000;

/** The interval at which unchanged evidence is repeated, for a new leader. */
const REPEAT_INTERVAL_MS = 4_000;

export interface EvidenceReporterOptions {
  readonly clock: Clock;
  readonly collector: EvidenceCollector;
  readonly getView: () => ControlView | null;
  /** Sends a report to the leader; if it rejects, the report counts as lost. */
  readonly send: (report: EvidenceReport) => Promise<unknown>;
}

/** Reports until disposed. Evidence covers only versions of roll-outs. */
export class EvidenceReporter implements AsyncDisposable {
  private task: AsyncDisposable | null = null;
  private sentRevision = -1;
  private sentAt = -Infinity;
  private demandSentAt = -Infinity;

  constructor(private readonly options: EvidenceReporterOptions) {}

  start(): void {
    const {clock} = this.options;
    this.task = startPeriodicTask({
      clock,
      intervalMs: REPORT_INTERVAL_MS,
      step: () => this.step(),
      onError: () => {
        // The next report replaces a lost one: counts are cumulative.
      },
    });
  }

  /** Sends a report if one is due. */
  async step(): Promise<void> {
    const {collector, clock, getView, send} = this.options;
    const versions = listRolloutVersions(getView());
    const {revision} = collector;
    const now = clock.monotonic();
    const demandDue = now - this.demandSentAt >= DEMAND_INTERVAL_MS;
    const changed = revision !== this.sentRevision;
    const repeatDue = now - this.sentAt >= REPEAT_INTERVAL_MS;
    const evidenceDue = versions.size > 0 && (changed || repeatDue);
    if (!evidenceDue && !demandDue) return;
    const report = collector.createReport(versions);
    const demand = collector.createDemandReport();
    await send(demandDue ? {...report, demand} : report);
    this.sentRevision = revision;
    this.sentAt = now;
    if (demandDue) this.demandSentAt = now;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.task?.[Symbol.asyncDispose]();
  }
}

/** Lists the versions that a roll-out names, as `model/version`. */
export function listRolloutVersions(view: ControlView | null): Set<string> {
  return new Set(
    (view?.rollouts ?? []).flatMap(({model, version, stable}) => [
      formatVersion({model, name: version}),
      formatVersion({model, name: stable}),
    ]),
  );
}
