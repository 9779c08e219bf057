/** The replicated state of the control group. */
import type {
  ControlCommand,
  ControlResult,
  ControlView,
} from '../../protocol/control.ts';
import {formatVersion} from '../../protocol/declaration.ts';
import type {RolloutCommand} from '../../protocol/rollout_state.ts';
import type {StateMachine} from '../state_machine.ts';
import {applyRolloutCommand, reconcileRollouts} from './rollout_state.ts';

interface ControlSnapshot extends ControlView {
  digest: string;
}

/** Applies control commands in log order. */
export class ControlState implements StateMachine<
  ControlCommand,
  ControlResult
> {
  private state: ControlSnapshot = {
    revision: 0,
    declaration: null,
    digest: '',
    withdrawals: [],
    rollouts: [],
    draining: [],
  };

  /** The configuration that daemons receive. Do not modify it. */
  get view(): ControlView {
    const {digest: _digest, ...view} = this.state;
    return view;
  }

  apply(command: ControlCommand, index: number): ControlResult {
    switch (command.type) {
      case 'apply':
        return this.applyDeclaration(command, index);
      case 'withdraw':
        return this.withdraw(command.version, command.reason, index);
      case 'drain':
        return this.drain(command.host, command.draining, index);
      case 'advance_rollout':
      case 'end_rollout':
      case 'pause_rollout':
        return this.changeRollout(command, index);
      case 'take_fencing':
        // Log positions always increase, even across restarts.
        return {type: 'fencing', number: index};
    }
  }

  createSnapshot(): unknown {
    return this.state;
  }

  restoreSnapshot(snapshot: unknown): void {
    this.state = snapshot as ControlSnapshot;
  }

  private applyDeclaration(
    {declaration, digest, atMs}: Extract<ControlCommand, {type: 'apply'}>,
    index: number,
  ): ControlResult {
    const version = this.state.declaration?.version ?? 0;
    if (declaration.version < version) {
      const message = `Could not apply version ${declaration.version}: version ${version} is in force`;
      return {type: 'stale', version, message};
    }
    if (declaration.version === version) {
      if (digest === this.state.digest) return this.accept();
      const message = `Could not apply version ${version}: it is in force with other content, digest ${this.state.digest.slice(0, 12)}`;
      return {type: 'conflict', version, message};
    }
    const declared = new Set(declaration.versions.map(formatVersion));
    this.state = {
      ...this.state,
      revision: index,
      declaration,
      digest,
      withdrawals: this.state.withdrawals.filter(({version}) =>
        declared.has(version),
      ),
      rollouts: reconcileRollouts(
        this.state.rollouts,
        declaration.rollouts,
        atMs,
      ),
    };
    return this.accept();
  }

  private withdraw(
    version: string,
    reason: string,
    index: number,
  ): ControlResult {
    const known = this.state.declaration?.versions.some(
      each => formatVersion(each) === version,
    );
    if (!known) {
      const message = `Could not withdraw "${version}": the declaration has no such version`;
      return {type: 'rejected', message};
    }
    if (this.state.withdrawals.some(each => each.version === version)) {
      return this.accept();
    }
    const withdrawals = [...this.state.withdrawals, {version, reason}];
    this.state = {...this.state, revision: index, withdrawals};
    return this.accept();
  }

  private changeRollout(command: RolloutCommand, index: number): ControlResult {
    const plans = this.state.declaration?.rollouts ?? [];
    const {rollouts} = this.state;
    const next = applyRolloutCommand(rollouts, plans, command);
    if (next === rollouts) return this.accept();
    this.state = {...this.state, revision: index, rollouts: [...next]};
    if (command.type === 'end_rollout' && command.status === 'withdrawn') {
      const name = formatVersion({
        model: command.model,
        name: command.version,
      });
      return this.withdraw(name, command.reason, index);
    }
    return this.accept();
  }

  private drain(host: string, draining: boolean, index: number): ControlResult {
    const others = this.state.draining.filter(each => each !== host);
    const next = draining ? [...others, host] : others;
    if (next.length !== this.state.draining.length) {
      this.state = {...this.state, revision: index, draining: next};
    }
    return this.accept();
  }

  private accept(): ControlResult {
    return {type: 'accepted', revision: this.state.revision};
  }
}
