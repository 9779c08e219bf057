/** Sends a gateway's evidence to the leader whenever it has changed. */
import type {Clock} from '../../protocol/clock.ts';
import type {ControlView} from '../../protocol/control.ts';
import {formatVersion} from '../../protocol/declaration.ts';
import type {EvidenceReport} from '../../protocol/rollout_state.ts';
import type {EvidenceCollector} from './evidence_collector.ts';
import {startPeriodicTask} from '../periodic_task.ts';

/** How often changed evidence is sent. */
const REPORT_INTERVAL_MS = 1_000;

/** How often the demand for versions is sent. */
const DEMAND_INTERVAL_MS = 10_000;

/** How often unchanged evidence is sent again, for a new leader. */
const REPEAT_INTERVAL_MS = 4_000;

export interface EvidenceReporterOptions {
  readonly clock: Clock;
  readonly collector: EvidenceCollector;
  readonly getView: () => ControlView | null;
  /** Sends a report to the leader; a rejection counts as a loss. */
  readonly send: (report: EvidenceReport) => Promise<unknown>;
}

/** Reports until disposed. Only versions of roll-outs are reported. */
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
        // A lost report is made good by the next one.
      },
    });
  }

  /** Sends a report where one is due. */
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

/** The versions, as `model/version`, that a roll-out names. */
export function listRolloutVersions(view: ControlView | null): Set<string> {
  return new Set(
    (view?.rollouts ?? []).flatMap(({model, version, stable}) => [
      formatVersion({model, name: version}),
      formatVersion({model, name: stable}),
    ]),
  );
}
