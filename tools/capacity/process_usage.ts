/** Reads the CPU time and memory of a process from /proc. */
import {readFileSync} from 'node:fs';

/** Clock ticks of CPU time per second, on Linux. */
const TICKS_PER_SECOND = 100;

/** Field positions after the process name in `/proc/PID/stat`. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

export interface ProcessUsage {
  /** CPU time since the start, in seconds. */
  readonly cpuSeconds: number;
  /** Resident memory, in megabytes. */
  readonly residentMb: number;
}

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
