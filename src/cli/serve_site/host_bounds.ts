/** Opens the account of the memory and the bounds of the connections of a daemon. */
import {readFileSync} from 'node:fs';
import {
  computeConnectionBounds,
  computeMemoryBounds,
  type Surface,
} from '../../coordination/memory_account/compute_bounds.ts';
import {MemoryAccount} from '../../coordination/memory_account/memory_account.ts';
import {startMemoryReport} from '../../coordination/memory_account/memory_report.ts';
import type {Clock} from '../../protocol/clock.ts';
import type {CreateLogger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {SiteSettings} from '../../protocol/site_settings.ts';
import type {DisposableStore} from '../serve/disposable_store.ts';

const BYTES_PER_MIB = 1024 * 1024;

/** What the process may open where the system does not say it. */
const DEFAULT_DESCRIPTORS = 1_024;

export interface HostBounds {
  readonly memory: MemoryAccount;
  /** The most connections that each address accepts. */
  readonly connections: Readonly<Record<Surface, number>>;
}

export interface HostBoundsOptions {
  readonly settings: SiteSettings;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly createLogger: CreateLogger;
  readonly store: DisposableStore;
}

export function openHostBounds({
  settings,
  clock,
  metrics,
  createLogger,
  store,
}: HostBoundsOptions): HostBounds {
  const {host, bounds} = settings;
  const {budgetBytes, shareBytes, headerBytes} = computeMemoryBounds(
    host.memory_mib,
  );
  const memory = new MemoryAccount({
    clock,
    metrics,
    budgetBytes: bounds.caller_memory_mib
      ? bounds.caller_memory_mib * BYTES_PER_MIB
      : budgetBytes,
    shareBytes,
    kindBytes: {
      answer: bounds.answer_memory_mib * BYTES_PER_MIB,
      header: bounds.header_memory_mib
        ? bounds.header_memory_mib * BYTES_PER_MIB
        : headerBytes,
    },
  });
  store.add(startMemoryReport({memory, clock, logger: createLogger('memory')}));
  // What the system says of a process may be a soft limit of its launcher.
  const descriptors = host.descriptors ?? readDescriptorLimit();
  return {memory, connections: computeConnectionBounds(descriptors)};
}

/** Reads how many descriptors the process may have. */
function readDescriptorLimit(): number {
  try {
    const limits = readFileSync('/proc/self/limits', 'utf8');
    const [, soft] = /^Max open files\s+(\S+)/m.exec(limits) ?? [];
    if (soft === 'unlimited') return Infinity;
    return Number(soft) || DEFAULT_DESCRIPTORS;
  } catch {
    return DEFAULT_DESCRIPTORS;
  }
}
