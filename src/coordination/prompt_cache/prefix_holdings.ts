/**
 * Tracks which engines were sent which prompt prefixes by this gateway, and what
 * all gateways have sent to these engines since.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {PartAge} from './engine_memory.ts';
import type {ChainLink} from './prompt_chain.ts';

/** Bounds of the prefixes, of the engines of one prefix, and of all engines. */
const MAX_PREFIXES = 4_096;
const MAX_HOLDERS = 12;
const MAX_ENGINES = 4_096;

/** How long a use of a prefix counts towards its popularity, in ms. */
export const POPULARITY_MS = 20_000;

/** The time over which the tokens that an engine reads are averaged, in ms. */
const RATE_MS = 20_000;

/** A prefix that was sent to an engine. */
export interface Holding extends PartAge {
  /** The tokens that its last part had then. */
  readonly tokens: number;
}

interface HoldingState {
  readonly startedAtMs: number;
  readonly tokens: number;
  readonly usedAt: number;
  /** The tokens that the engine had read by then. */
  readonly filledAt: number;
}

interface PrefixState {
  /** By the id of the endpoint, the least recently used first. */
  readonly holders: Map<string, HoldingState>;
  uses: number;
  usedAt: number;
}

interface EngineState {
  readonly startedAtMs: number;
  /** The tokens that it has read, as far as is known. */
  filled: number;
  /** Those read lately, of which earlier ones count less. */
  recent: number;
  recentAt: number;
  /** Until when the tokens of other gateways are counted. */
  observedAt: number;
}

/** A prefix as known to this gateway. */
export interface TrackedPrefix {
  /** The recent requests with it, of which earlier ones count less. */
  readonly uses: number;
  /** Ids of the endpoints that it was sent to, the least recent first. */
  readonly holders: Iterable<string>;
}

export class PrefixHoldings {
  private readonly prefixes = new Map<string, PrefixState>();
  private readonly engines = new Map<string, EngineState>();

  constructor(private readonly clock: Clock) {}

  /**
   * Records that an engine reads a prompt with these prefixes. Call the result if
   * it did not.
   */
  record(
    endpoint: EndpointEntry,
    chain: readonly ChainLink[],
    uncachedTokens: number,
  ): () => void {
    const engine = this.getEngine(endpoint);
    const now = this.clock.monotonic();
    addTokens(engine, uncachedTokens, now);
    const {id, startedAtMs} = endpoint;
    const before = chain.map(({key, tokens}) => {
      const prefix = this.take(key, now);
      const known = prefix.holders.get(id);
      prefix.holders.delete(id);
      prefix.holders.set(id, {
        startedAtMs,
        tokens,
        usedAt: now,
        filledAt: engine.filled,
      });
      if (prefix.holders.size > MAX_HOLDERS) dropFirst(prefix.holders);
      this.prefixes.set(key, prefix);
      return {holders: prefix.holders, known};
    });
    while (this.prefixes.size > MAX_PREFIXES) dropFirst(this.prefixes);
    return () => {
      addTokens(engine, -uncachedTokens, this.clock.monotonic());
      for (const {holders, known} of before) {
        if (known) holders.set(id, known);
        else holders.delete(id);
      }
    };
  }

  /** Adds what other gateways send to an engine, as a rate until now. */
  addOthers(endpoint: EndpointEntry, tokensPerMs: number): void {
    const engine = this.getEngine(endpoint);
    const now = this.clock.monotonic();
    addTokens(engine, (now - engine.observedAt) * tokensPerMs, now);
    engine.observedAt = now;
  }

  /** The tokens that an engine lately read in a ms. */
  getTokensPerMs(endpoint: EndpointEntry): number {
    const {recent, recentAt} = this.getEngine(endpoint);
    const kept = Math.exp((recentAt - this.clock.monotonic()) / RATE_MS);
    return (recent * kept) / RATE_MS;
  }

  /** Finds a prefix; `null` if it was not sent lately. */
  findPrefix(key: string): TrackedPrefix | null {
    const prefix = this.prefixes.get(key);
    if (!prefix) return null;
    const now = this.clock.monotonic();
    return {
      uses: prefix.uses * Math.exp((prefix.usedAt - now) / POPULARITY_MS),
      holders: prefix.holders.keys(),
    };
  }

  /** Finds what this gateway sent to a start of an endpoint. */
  find(endpoint: EndpointEntry, key: string): Holding | null {
    const holding = this.prefixes.get(key)?.holders.get(endpoint.id);
    if (holding?.startedAtMs !== endpoint.startedAtMs) return null;
    return {
      tokens: holding.tokens,
      ageMs: this.clock.monotonic() - holding.usedAt,
      tokensSince: this.getEngine(endpoint).filled - holding.filledAt,
    };
  }

  /** Removes a prefix to add it again as the most recently used one. */
  private take(key: string, now: number): PrefixState {
    const known = this.prefixes.get(key);
    if (!known) return {holders: new Map(), uses: 1, usedAt: now};
    this.prefixes.delete(key);
    known.uses =
      known.uses * Math.exp((known.usedAt - now) / POPULARITY_MS) + 1;
    known.usedAt = now;
    return known;
  }

  private getEngine({id, startedAtMs}: EndpointEntry): EngineState {
    const known = this.engines.get(id);
    if (known?.startedAtMs === startedAtMs) return known;
    const now = this.clock.monotonic();
    const created = {
      startedAtMs,
      filled: 0,
      recent: 0,
      recentAt: now,
      observedAt: now,
    };
    this.engines.set(id, created);
    if (this.engines.size > MAX_ENGINES) dropFirst(this.engines);
    return created;
  }
}

function addTokens(engine: EngineState, tokens: number, now: number): void {
  const kept = Math.exp((engine.recentAt - now) / RATE_MS);
  engine.filled += tokens;
  engine.recent = Math.max(0, engine.recent * kept + tokens);
  engine.recentAt = now;
}

function dropFirst(map: Map<string, unknown>): void {
  for (const key of map.keys()) {
    map.delete(key);
    return;
  }
}
