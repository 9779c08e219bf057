/** A fake engine: continuous batching, a prefix cache, lagging reports. */
import type {Endpoint} from '../../src/coordination/membership/endpoint_table.ts';
import type {Clock} from '../../src/protocol/clock.ts';
import type {WorkItem} from './workload.ts';

/** The speed of the version that runs. */
export interface EngineSpeed {
  /** Milliseconds for a prompt token, alone. */
  readonly prefillMs: number;
  /** Milliseconds between tokens, alone. */
  readonly gapMs: number;
}

/** How one run went; `null` for one that failed. */
export interface EngineResult {
  readonly tokenGapMs: number;
}

/** The prefixes that an engine caches. */
const CACHE_CAPACITY = 60;

/** The characters of a prompt that make a cached prefix. */
const CACHED_CHARACTERS = 1_024;

/** The share of the prefill that a cached prefix saves. */
const CACHED_SHARE = 0.8;

/** How much a full batch slows the prefill, and the tokens. */
const PREFILL_CROWDING = 0.6;
const TOKEN_CROWDING = 0.6;

/** How long a call of a dead engine hangs. */
const HANG_MS = 2_000;

/** How often load is reported. */
const REPORT_MS = 1_000;

/** One engine. */
export class FakeEngine {
  running = 0;
  /** A factor on all times; 1 is the usual. */
  slowness = 1;
  dead = false;
  served = 0;
  private readonly waiting: Array<() => void> = [];
  private readonly cache = new Map<string, true>();

  constructor(
    readonly slots: number,
    private readonly clock: Clock,
  ) {}

  /** Runs a request; `onFirst` is called with its first token. */
  async run(
    item: WorkItem,
    speed: EngineSpeed,
    onFirst: () => void,
  ): Promise<EngineResult | null> {
    if (this.dead) {
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
      const cached = this.useCache(item.prompt) ? CACHED_SHARE : 0;
      const prefillMs = 20 + item.promptTokens * speed.prefillMs * (1 - cached);
      await this.clock.sleep(
        prefillMs * this.slowness * (1 + PREFILL_CROWDING * load),
      );
      if (this.dead) return null;
      onFirst();
      const tokenGapMs =
        speed.gapMs * this.slowness * (1 + TOKEN_CROWDING * load);
      await this.clock.sleep(tokenGapMs * item.answerTokens);
      if (this.dead) return null;
      this.served++;
      return {tokenGapMs};
    } finally {
      const next = this.waiting.shift();
      if (next) next();
      else this.running--;
    }
  }

  /** Reports the load to all gateways' records, late, until `endMs`. */
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
      await this.clock.sleep(REPORT_MS);
    }
  }

  private useCache(prompt: string): boolean {
    const key = prompt.slice(0, CACHED_CHARACTERS);
    const hit = this.cache.delete(key);
    this.cache.set(key, true);
    if (this.cache.size > CACHE_CAPACITY) {
      const [oldest] = this.cache.keys();
      if (oldest !== undefined) this.cache.delete(oldest);
    }
    return hit;
  }
}
