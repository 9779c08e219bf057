/** Counts what the account of memory rejects, by cause and by caller. */

/** The most callers that are counted; further ones are not. */
const MAX_CALLERS = 1_000;

/** A caller in a report. */
export interface RejectedCaller {
  /** Its IP address, or the name of an endpoint. */
  readonly address: string;
  readonly rejections: number;
}

export class RejectionTally {
  private byCause = new Map<string, number>();
  private readonly byCaller = new Map<string, number>();

  /** @param name An address with a port, which differs between connections. */
  record(cause: string, name: string): void {
    this.byCause.set(cause, (this.byCause.get(cause) ?? 0) + 1);
    const address = name.replace(/:\d+$/, '');
    const count = this.byCaller.get(address);
    if (count === undefined && this.byCaller.size >= MAX_CALLERS) return;
    this.byCaller.set(address, (count ?? 0) + 1);
  }

  /** Takes the numbers since the last call, by cause. */
  takeCauses(): ReadonlyMap<string, number> {
    const taken = this.byCause;
    this.byCause = new Map();
    return taken;
  }

  /** Takes the callers with the most rejections since the last call. */
  takeCallers(count: number): RejectedCaller[] {
    const callers = [...this.byCaller]
      .sort(([, a], [, b]) => b - a)
      .slice(0, count)
      .map(([address, rejections]) => ({address, rejections}));
    this.byCaller.clear();
    return callers;
  }
}
