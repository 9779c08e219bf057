/** The replicated state of a routing deployment. */
import type {
  Configuration,
  ServiceRollout,
} from '../../protocol/core_service.ts';
import type {
  RoutingCommand,
  RoutingResult,
} from '../../protocol/routing_commands.ts';
import type {StateMachine} from '../state_machine.ts';

/** Applies configuration and roll-out commands in log order. */
export class RoutingState implements StateMachine<
  RoutingCommand,
  RoutingResult
> {
  private state: Configuration = {
    revision: 0,
    version: null,
    document: null,
    rollouts: [],
  };

  /** The configuration as of the last applied entry. */
  get configuration(): Configuration {
    return this.state;
  }

  apply(command: RoutingCommand, index: number): RoutingResult {
    const result = this.applyCommand(command, index);
    return {...result, revision: this.state.revision};
  }

  private applyCommand(command: RoutingCommand, index: number): RoutingResult {
    switch (command.type) {
      case 'replace':
        return this.replaceDocument(command, index);
      case 'begin_rollout':
        return this.beginRollout(command, index);
      case 'set_share':
        return this.changeRollout(
          command,
          {share: command.share, movesSessions: command.movesSessions},
          index,
        );
      case 'finish_rollout':
        return this.finishRollout(command, index);
      case 'set_drain':
        return this.setDrain(command, index);
    }
  }

  createSnapshot(): unknown {
    return this.state;
  }

  restoreSnapshot(snapshot: unknown): void {
    this.state = snapshot as Configuration;
  }

  /** Accepts a version that is not higher without applying it. */
  private replaceDocument(
    {version, document}: Extract<RoutingCommand, {type: 'replace'}>,
    index: number,
  ): RoutingResult {
    if (this.state.version === null || version > this.state.version) {
      this.state = {...this.state, revision: index, version, document};
    }
    return {type: 'accepted'};
  }

  private beginRollout(
    command: Extract<RoutingCommand, {type: 'begin_rollout'}>,
    index: number,
  ): RoutingResult {
    const {service, target, durationMs, atMs} = command;
    const known = this.findRollout(service);
    if (known?.target === target) return {type: 'rollout', rollout: known};
    if (known?.state === 'running') return {type: 'conflict', rollout: known};
    const rejected = known?.rejected ?? [];
    const rollout: ServiceRollout = {
      service,
      target,
      state: 'running',
      stable:
        known?.state === 'complete' ? known.target : (known?.stable ?? null),
      rejected: rejected.filter(version => version !== target),
      share: 0,
      movesSessions: false,
      beganAtMs: atMs,
      durationMs,
    };
    this.storeRollout(rollout, index);
    return {type: 'rollout', rollout};
  }

  private finishRollout(
    command: Extract<RoutingCommand, {type: 'finish_rollout'}>,
    index: number,
  ): RoutingResult {
    const {state, target, service} = command;
    const rejected = this.findRollout(service)?.rejected ?? [];
    return this.changeRollout(
      command,
      state === 'complete'
        ? {state, share: 1}
        : {state, share: 0, rejected: [...rejected, target]},
      index,
    );
  }

  /** Changes a running roll-out; ignores a late command for another one. */
  private changeRollout(
    {service, target}: {service: string; target: string},
    change: Partial<ServiceRollout>,
    index: number,
  ): RoutingResult {
    const known = this.findRollout(service);
    if (known?.target === target && known.state === 'running') {
      this.storeRollout({...known, ...change}, index);
    }
    return {type: 'accepted'};
  }

  /** Adds or removes a drained data centre; a repetition changes nothing. */
  private setDrain(
    {dataCentre, isDrained}: Extract<RoutingCommand, {type: 'set_drain'}>,
    index: number,
  ): RoutingResult {
    const {drained: known = [], ...state} = this.state;
    if (known.includes(dataCentre) === isDrained) return {type: 'accepted'};
    const others = known.filter(each => each !== dataCentre);
    const drained = isDrained ? [...others, dataCentre] : others;
    this.state = {
      ...state,
      revision: index,
      ...(drained.length > 0 ? {drained} : {}),
    };
    return {type: 'accepted'};
  }

  private findRollout(service: string): ServiceRollout | undefined {
    return this.state.rollouts.find(each => each.service === service);
  }

  private storeRollout(rollout: ServiceRollout, index: number): void {
    const others = this.state.rollouts.filter(
      each => each.service !== rollout.service,
    );
    const rollouts = [...others, rollout];
    this.state = {...this.state, revision: index, rollouts};
  }
}
