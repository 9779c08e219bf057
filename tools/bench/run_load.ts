/** Runs load generators in several processes and merges their results. */
import {execFile} from 'node:child_process';
import {promisify} from 'node:util';
import {
  build as buildHistogram,
  decodeFromCompressedBase64,
  type Histogram,
} from 'hdr-histogram-js';

export interface LoadOptions {
  readonly addresses: readonly string[];
  readonly key: string;
  readonly model: string;
  /** Number of concurrent requests over all processes. */
  readonly concurrency: number;
  readonly seconds: number;
  readonly rampSeconds?: number;
  readonly tokens: number;
  /** Number of load generators; 2 by default. */
  readonly processes?: number;
}

/** Percentiles in milliseconds. */
export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

export interface LoadResult {
  readonly perSecond: number;
  readonly answered: number;
  readonly errors: ReadonlyMap<string, number>;
  readonly durations: Percentiles;
  readonly firstTokens: Percentiles;
  readonly gaps: Percentiles;
}

interface Report {
  answered: number;
  seconds: number;
  errors: Array<[string, number]>;
  durations: string;
  firstTokens: string;
  gaps: string;
}

const MICROSECONDS_PER_MS = 1_000;

/** Runs the load to its end and returns the merged results. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const {processes = 2, concurrency, ...rest} = options;
  const argument = JSON.stringify({
    ...rest,
    concurrency: Math.ceil(concurrency / processes),
  });
  const reports = await Promise.all(
    Array.from({length: processes}, () => runProcess(argument)),
  );
  const errors = new Map<string, number>();
  for (const [kind, count] of reports.flatMap(each => each.errors)) {
    errors.set(kind, (errors.get(kind) ?? 0) + count);
  }
  return {
    answered: reports.reduce((sum, each) => sum + each.answered, 0),
    perSecond: reports.reduce(
      (sum, each) => sum + each.answered / each.seconds,
      0,
    ),
    errors,
    durations: merge(reports.map(each => each.durations)),
    firstTokens: merge(reports.map(each => each.firstTokens)),
    gaps: merge(reports.map(each => each.gaps)),
  };
}

async function runProcess(argument: string): Promise<Report> {
  const {stdout} = await promisify(execFile)(
    process.execPath,
    ['dist/bench/load.mjs', argument],
    {maxBuffer: 16 * 1024 * 1024},
  );
  return JSON.parse(stdout) as Report;
}

function merge(encoded: readonly string[]): Percentiles {
  const total: Histogram = buildHistogram({numberOfSignificantValueDigits: 3});
  for (const each of encoded) total.add(decodeFromCompressedBase64(each));
  const read = (percentile: number) =>
    total.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return {p50: read(50), p95: read(95), p99: read(99)};
}
