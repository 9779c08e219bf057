/** What a process used, from the kernel's tables. */
import {readFileSync} from 'node:fs';

/** Ticks of processor time in a second, on Linux. */
const TICKS_PER_SECOND = 100;

/** Positions behind the name in `/proc/PID/stat`. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

export interface ProcessUsage {
  /** Processor time since the start, in seconds. */
  readonly cpuSeconds: number;
  /** Resident memory, in megabytes. */
  readonly residentMb: number;
}

/** Reads the usage of a process. */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const columns = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(columns[USER_TICKS]) + Number(columns[SYSTEM_TICKS]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentMb: kilobytes / 1_024,
  };
}
