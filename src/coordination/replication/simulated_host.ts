/** A host of a simulated group: its clock and its disk, for tests. */
import type {Clock} from '../../protocol/clock.ts';
import type {DataFile, FileSystem} from '../../state/files/file_system.ts';
import {MemoryFileSystem} from '../../state/files/memory_file_system.ts';
import type {FileLog} from '../../state/log/file_log.ts';
import type {Founder} from './founder.ts';
import type {ReplicaHost} from './member.ts';
import type {Recorder} from './recorder_fake.ts';
import type {Replica} from './replica.ts';

/**
 * The clock of one host. While the host is frozen, its sleeps do not return,
 * as in a suspended process.
 */
export class HostClock implements Clock {
  /** Waits for the work of a host whose processor is busy; by default for none. */
  waitForProcessor: (() => Promise<void>) | null = null;
  private unfreeze: (() => void) | null = null;
  private frozen: Promise<void> = Promise.resolve();

  constructor(private readonly clock: Clock) {}

  get isFrozen(): boolean {
    return this.unfreeze !== null;
  }

  now(): number {
    return this.clock.now();
  }

  monotonic(): number {
    return this.clock.monotonic();
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(ms, signal);
    await this.frozen;
    if (this.waitForProcessor) await this.waitForProcessor();
  }

  /** Resolves at once, or when a frozen host is resumed. */
  waitUntilRunning(): Promise<void> {
    return this.frozen;
  }

  freeze(): void {
    if (this.unfreeze) return;
    this.frozen = new Promise(resolve => (this.unfreeze = resolve));
  }

  resume(): void {
    this.unfreeze?.();
    this.unfreeze = null;
  }
}

/** A host of the group. */
export interface SimulatedHost {
  readonly name: string;
  readonly place: ReplicaHost;
  readonly files: MemoryFileSystem;
  readonly clock: HostClock;
  /** Whether it is told of the hosts that bootstrap the group. */
  bootstraps: boolean;
  /** Its votes on the first voters of the group; `null` if it has none. */
  founder: Founder | null;
  /** `null` while the host is down. */
  replica: Replica<string, number> | null;
  /** The log on its disk, also while the host is down; `null` if empty. */
  storage: FileLog | null;
  recorder: Recorder;
  incarnation: string;
}

/** Wraps the disk of a host, whose syncs take as long as `drawSyncMs` says. */
export function createSlowDisk(
  files: FileSystem,
  {clock, drawSyncMs}: {clock: Clock; drawSyncMs: () => number},
): FileSystem {
  const delay = () => clock.sleep(drawSyncMs());
  return {
    makeFolder: path => files.makeFolder(path),
    list: path => files.list(path),
    read: path => files.read(path),
    rename: (from, to) => files.rename(from, to),
    remove: path => files.remove(path),
    async open(path): Promise<DataFile> {
      const file = await files.open(path);
      return {
        append: bytes => file.append(bytes),
        truncate: size => file.truncate(size),
        close: () => file.close(),
        async sync() {
          await delay();
          await file.sync();
        },
      };
    },
    async syncFolder(path) {
      await delay();
      await files.syncFolder(path);
    },
  };
}
