/** Simulates an engine: continuous batching, prefix cache, delayed reports. */
import type {Endpoint} from '../../src/coordination/membership/endpoint_table.ts';
import type {Clock} from '../../src/protocol/clock.ts';
import type {WorkItem} from './workload.ts';

/** How fast an engine runs a version. */
export interface EngineSpeed {
  /** Prefill time per prompt token when the engine is otherwise idle. */
  readonly prefillMs: number;
  /** Time between tokens when the engine is otherwise idle. */
  readonly gapMs: number;
}

/** The result of one completed request. */
export interface EngineResult {
  readonly tokenGapMs: number;
}

/** The number of prompt prefixes that an engine caches. */
const PREFIX_CACHE_CAPACITY = 60;

/** Length of the cached prompt prefix, in characters. */
const CACHED_PREFIX_CHARACTERS = 1_024;

/** Share of the prefill time that a cached prefix saves. */
const CACHED_PREFILL_SHARE = 0.8;

/** Relative slowdown of prefill and of decoding at a full batch. */
const PREFILL_SLOWDOWN = 0.6;
const TOKEN_SLOWDOWN = 0.6;

/** How long a call to an engine that is down hangs before it fails. */
const HANG_MS = 2_000;

/** Time between load reports. */
const REPORT_INTERVAL_MS = 1_000;

export class FakeEngine {
  running = 0;
  /** Factor on all times; 1 means normal speed. */
  slowdown = 1;
  isDown = false;
  served = 0;
  private readonly waiting: Array<() => void> = [];
  private readonly prefixCache = new Map<string, true>();

  constructor(
    readonly slots: number,
    private readonly clock: Clock,
  ) {}

  /**
   * Runs a request and calls `onFirst` at its first token. Returns `null` if
   * the engine is down.
   */
  async run(
    item: WorkItem,
    speed: EngineSpeed,
    onFirst: () => void,
  ): Promise<EngineResult | null> {
    if (this.isDown) {
      await this.clock.sleep(HANG_MS);
      return null;
    }
    if (this.running >= this.slots) {
      await new Promise<void>(resolve => this.waiting.push(resolve));
    } else {
      this.running++;
    }
    try {
      const load = this.running / this.slots;
      const cached = this.updatePrefixCache(item.prompt)
        ? CACHED_PREFILL_SHARE
        : 0;
      const prefillMs = 20 + item.promptTokens * speed.prefillMs * (1 - cached);
      await this.clock.sleep(
        prefillMs * this.slowdown * (1 + PREFILL_SLOWDOWN * load),
      );
      if (this.isDown) return null;
      onFirst();
      const tokenGapMs =
        speed.gapMs * this.slowdown * (1 + TOKEN_SLOWDOWN * load);
      await this.clock.sleep(tokenGapMs * item.answerTokens);
      if (this.isDown) return null;
      this.served++;
      return {tokenGapMs};
    } finally {
      const next = this.waiting.shift();
      if (next) next();
      else this.running--;
    }
  }

  /**
   * Updates the load in the endpoint records of all gateways, each report
   * delayed by `lagMs`, until `endMs`.
   */
  async report(
    records: readonly Endpoint[],
    lagMs: number,
    endMs: number,
  ): Promise<void> {
    while (this.clock.monotonic() < endMs) {
      const takenAt = this.clock.monotonic();
      const load = {
        running: this.running,
        waiting: this.waiting.length,
        ageMs: lagMs,
      };
      void this.clock.sleep(lagMs).then(() => {
        for (const record of records) {
          record.load = load;
          record.loadTakenAt = takenAt;
        }
      });
      await this.clock.sleep(REPORT_INTERVAL_MS);
    }
  }

  private updatePrefixCache(prompt: string): boolean {
    const key = prompt.slice(0, CACHED_PREFIX_CHARACTERS);
    const hit = this.prefixCache.delete(key);
    this.prefixCache.set(key, true);
    if (this.prefixCache.size > PREFIX_CACHE_CAPACITY) {
      const [oldest] = this.prefixCache.keys();
      if (oldest !== undefined) this.prefixCache.delete(oldest);
    }
    return hit;
  }
}
