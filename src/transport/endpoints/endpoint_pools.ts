/**
 * Connection pools for endpoints, one per address.
 *
 * An open connection can become permanently unresponsive while new ones work.
 * The whole pool of such a connection is retired: its running calls continue,
 * and new calls open new connections.
 */
import {Pool} from 'undici';
import type {Clock} from '../../protocol/clock.ts';

/** Timeout for opening a connection. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** How long an idle connection is kept open. */
const KEEP_ALIVE_TIMEOUT_MS = 10_000;

/** How long a pool without new calls is kept. */
const IDLE_POOL_TIMEOUT_MS = 60_000;

interface PoolEntry {
  readonly pool: Pool;
  lastUsedAt: number;
}

/** Opens, retires and closes the pools of one daemon. */
export class EndpointPools implements AsyncDisposable {
  private readonly entries = new Map<string, PoolEntry>();
  private readonly retired = new Set<Pool>();
  private lastPrunedAt = 0;

  constructor(private readonly clock: Pick<Clock, 'monotonic'>) {}

  /** The number of pools that accept new calls. */
  get size(): number {
    return this.entries.size;
  }

  /** Returns the pool for an address such as `10.0.0.1:8080`. */
  get(address: string): Pool {
    const now = this.clock.monotonic();
    this.prune(now);
    const known = this.entries.get(address);
    if (known) {
      known.lastUsedAt = now;
      return known.pool;
    }
    const pool = new Pool(`http://${address}`, {
      connect: {timeout: CONNECT_TIMEOUT_MS, noDelay: true},
      connections: null,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.entries.set(address, {pool, lastUsedAt: now});
    return pool;
  }

  /** Stops using `pool`, unless it was already replaced. */
  retire(address: string, pool: Pool): void {
    if (this.entries.get(address)?.pool !== pool) return;
    this.entries.delete(address);
    this.close(pool);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const pools = [...this.entries.values()].map(entry => entry.pool);
    this.entries.clear();
    await Promise.all([...pools, ...this.retired].map(each => each.destroy()));
  }

  private prune(now: number): void {
    if (now - this.lastPrunedAt < IDLE_POOL_TIMEOUT_MS) return;
    this.lastPrunedAt = now;
    for (const [address, entry] of this.entries) {
      if (now - entry.lastUsedAt < IDLE_POOL_TIMEOUT_MS) continue;
      this.entries.delete(address);
      this.close(entry.pool);
    }
  }

  /** Closes a pool once its running calls have ended. */
  private close(pool: Pool): void {
    this.retired.add(pool);
    void pool.close().finally(() => this.retired.delete(pool));
  }
}
