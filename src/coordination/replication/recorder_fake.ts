/** A state machine for replication tests. */
import {crc32} from 'node:zlib';
import type {StateMachine} from '../../state/state_machine.ts';

/** Records all commands, and a running hash of them and their order. */
export class Recorder implements StateMachine<string, number> {
  commands: string[] = [];
  private hash = 0;

  constructor(
    private readonly onApply: (index: number, hash: number) => void,
    /** Makes snapshots larger. */
    private readonly padding = '',
  ) {}

  apply(command: string, index: number): number {
    this.commands.push(command);
    this.hash = crc32(`${this.hash}/${index}/${command}`);
    this.onApply(index, this.hash);
    return this.commands.length;
  }

  createSnapshot(): unknown {
    const {commands, hash, padding} = this;
    return {commands, hash, padding};
  }

  restoreSnapshot(snapshot: unknown): void {
    const {commands, hash} = snapshot as {commands: string[]; hash: number};
    this.commands = [...commands];
    this.hash = hash;
  }
}
