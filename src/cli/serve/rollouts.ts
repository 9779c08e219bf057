/** Reports roll-out evidence and, on the control leader, advances stages. */
import {EvidenceCollector} from '../../coordination/rollout/evidence_collector.ts';
import type {EvidenceLedger} from '../../coordination/rollout/evidence_ledger.ts';
import {EvidenceReporter} from '../../coordination/rollout/evidence_reporter.ts';
import {RolloutController} from '../../coordination/rollout/rollout_controller.ts';
import type {ConfigurationLease} from '../../coordination/leases/configuration_lease.ts';
import type {CallReplica} from './call_replica.ts';
import type {DaemonParts} from './daemon.ts';
import type {Replicas} from './replicas.ts';

export interface RolloutOptions {
  readonly replicas: Replicas;
  readonly lease: ConfigurationLease;
  readonly collector: EvidenceCollector;
  readonly evidence: EvidenceLedger;
  readonly listReplicas: () => readonly string[];
  readonly callReplica: CallReplica;
}

/** Starts the reporter and the controller; `parts.store` owns them. */
export function startRollouts(
  parts: DaemonParts,
  options: RolloutOptions,
): void {
  const {clock, store, createLogger} = parts;
  const {lease, collector, evidence} = options;
  const reporter = new EvidenceReporter({
    clock,
    collector,
    getView: () => lease.getView(),
    send: async report => {
      for (const name of options.listReplicas()) {
        const reply = await options
          .callReplica(name)
          .reportEvidence(report)
          .catch(() => null);
        if (reply?.taken) return;
      }
    },
  });
  store.add(reporter).start();
  const {control} = options.replicas;
  if (!control) return;
  const controller = new RolloutController({
    clock,
    logger: createLogger('rollout'),
    evidence,
    isLeader: () => control.replica.isLeader(),
    getLeaderSince: () => control.replica.leaderSince,
    getView: () => control.state.view,
    propose: command => control.replica.propose(command),
  });
  store.add(controller).start();
}
