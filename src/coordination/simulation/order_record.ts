/** What the orders of a history cost, and what their acks were worth. */
import type {ControlPlane} from './control_plane.ts';
import type {ControlTroubles} from './control_troubles.ts';

export interface OrderRecordOptions {
  readonly plane: ControlPlane;
  readonly troubles: ControlTroubles;
}

interface KnownOrder {
  /** Whether the core was stable from its sending to its last ack. */
  isStable: boolean;
}

export class OrderRecord {
  /** Acks in calm that left gateways behind. */
  readonly behind: string[] = [];
  readonly refused: string[] = [];
  /** Orders with more entries in the log than they may take. */
  readonly repeated: string[] = [];
  private readonly known = new Map<number, KnownOrder>();

  constructor(private readonly options: OrderRecordOptions) {}

  begin(version: number) {
    const {troubles, plane} = this.options;
    const wasCalm = troubles.isCalm;
    const known = this.known.get(version);
    const order = known ?? {isStable: troubles.isCoreStable};
    this.known.set(version, order);
    return {
      recordRefusal: () => void this.refused.push(`version ${version}`),
      recordAck: () => {
        order.isStable &&= troubles.isCoreStable;
        if (!wasCalm || !troubles.isCalm) return;
        const behind = plane.gateways.filter(
          ({view}) => view.routes && view.routes.table.version < version,
        );
        if (behind.length === 0) return;
        const at = Math.round(plane.clock.monotonic());
        this.behind.push(`version ${version} at ${at}: ${behind.length}`);
      },
    };
  }

  /** Counts the entries of each order. */
  finish(): void {
    const entries = new Map<number, number>();
    const logs = [...this.options.plane.group.hosts.values()];
    const [longest = []] = logs
      .map(({recorder}) => recorder.commands)
      .sort((a, b) => b.length - a.length);
    for (const command of longest) {
      const version = Number(command);
      entries.set(version, (entries.get(version) ?? 0) + 1);
    }
    for (const [version, {isStable}] of this.known) {
      const count = entries.get(version) ?? 0;
      const most = isStable ? 1 : 2;
      if (count > most) this.repeated.push(`version ${version}: ${count}`);
    }
  }
}
