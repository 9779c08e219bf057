/**
 * Compares one gateway with direct calls to the engines and with a bare
 * pass-through proxy, in one run.
 *
 * `npm run bench -- --part latency|throughput|streams --seconds N`
 */
import {Command} from 'commander';
import {BenchSystem, CUSTOMER_KEY, MODEL} from './bench_system.ts';
import {runLoad, type LoadResult, type Percentiles} from './run_load.ts';

const PARTS = ['latency', 'throughput', 'streams'] as const;
type Part = (typeof PARTS)[number];

/** Concurrent streams in the part `streams`. */
const STREAMS = 2_000;

/** Time between the tokens of a stream, for 15 tokens per second. */
const TOKEN_MS = 1_000 / 15;

/** The users' target for the time between tokens. */
const TOKEN_GAP_TARGET_MS = 63;

const load = {key: CUSTOMER_KEY, model: MODEL};

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function formatPercentiles({p50, p95, p99}: Percentiles): string {
  const [a, b, c] = [p50, p95, p99].map(ms => ms.toFixed(2));
  return `p50 ${a} ms, p95 ${b} ms, p99 ${c} ms`;
}

function printErrors(name: string, result: LoadResult): void {
  for (const [kind, count] of result.errors) {
    print(`  ${name}: ${count} x ${kind}`);
  }
}

async function measureLatency(seconds: number): Promise<void> {
  await using bench = await BenchSystem.start({localLedger: true, engines: 2});
  const run = (addresses: readonly string[], model: string) =>
    runLoad({...load, model, addresses, concurrency: 4, seconds, tokens: 5});
  await run([bench.gatewayAddress], MODEL);
  const direct = await run(bench.engines, `${MODEL}/small`);
  const through = await run([bench.gatewayAddress], MODEL);
  print(`latency, direct:          ${formatPercentiles(direct.durations)}`);
  print(`latency, through gateway: ${formatPercentiles(through.durations)}`);
  const added = {
    p50: through.durations.p50 - direct.durations.p50,
    p95: through.durations.p95 - direct.durations.p95,
    p99: through.durations.p99 - direct.durations.p99,
  };
  print(`latency added:            ${formatPercentiles(added)}`);
  printErrors('gateway', through);
}

async function measureThroughput(
  seconds: number,
  localLedger: boolean,
): Promise<void> {
  await using bench = await BenchSystem.start({localLedger, engines: 3});
  const run = (address: string, model: string) =>
    runLoad({
      ...load,
      model,
      addresses: [address],
      concurrency: 64,
      seconds,
      tokens: 5,
    });
  await run(bench.gatewayAddress, MODEL);
  const idleMemory = await bench.readGatewayMemoryMb();
  const baselineCpuBefore = await bench.readPassThroughCpuSeconds();
  const baseline = await run(bench.passThroughAddress, `${MODEL}/small`);
  const baselineCpuSeconds =
    (await bench.readPassThroughCpuSeconds()) - baselineCpuBefore;
  const before = await bench.readGatewayCpuSeconds();
  const routed = await run(bench.gatewayAddress, MODEL);
  const spent = (await bench.readGatewayCpuSeconds()) - before;
  const place = localLedger ? 'ledger on its disk' : 'ledger elsewhere';
  const ratio = routed.perSecond / baseline.perSecond;
  const target = localLedger ? 0.5 : 0.7;
  print(
    `throughput, ${place}: ${routed.perSecond.toFixed(0)}/s, ` +
      `pass-through ${baseline.perSecond.toFixed(0)}/s, ` +
      `ratio ${ratio.toFixed(2)} (target ${target})`,
  );
  print(
    `  processor a request: ${((spent / routed.answered) * 1_000).toFixed(2)} ms, ` +
      `pass-through ${((baselineCpuSeconds / baseline.answered) * 1_000).toFixed(2)} ms; ` +
      `gateway's memory ${idleMemory.toFixed(0)} MB before, ` +
      `${(await bench.readGatewayMemoryMb()).toFixed(0)} MB after`,
  );
  printErrors('gateway', routed);
  printErrors('pass-through', baseline);
}

async function measureStreams(seconds: number): Promise<void> {
  await using bench = await BenchSystem.start({
    localLedger: true,
    engines: 4,
    tokenMs: TOKEN_MS,
  });
  const idle = await bench.readGatewayMemoryMb();
  const run = (addresses: readonly string[], model: string) =>
    runLoad({
      ...load,
      model,
      addresses,
      concurrency: STREAMS,
      seconds,
      rampSeconds: seconds / 3,
      tokens: Math.ceil(seconds * 20),
      processes: 4,
    });
  const direct = await run(bench.engines, `${MODEL}/small`);
  const before = await bench.readGatewayCpuSeconds();
  const running = run([bench.gatewayAddress], MODEL);
  await new Promise(resolve => setTimeout(resolve, seconds * 900));
  const loaded = await bench.readGatewayMemoryMb();
  const through = await running;
  const spent = (await bench.readGatewayCpuSeconds()) - before;
  const addedGapMs = through.gaps.p95 - direct.gaps.p95;
  print(`gaps, direct:          ${formatPercentiles(direct.gaps)}`);
  print(`gaps, through gateway: ${formatPercentiles(through.gaps)}`);
  print(
    `gap p95 beyond the engine's: ${addedGapMs.toFixed(1)} ms ` +
      `(target ${TOKEN_GAP_TARGET_MS} ms)`,
  );
  print(
    `first token through gateway: ${formatPercentiles(through.firstTokens)}`,
  );
  print(
    `memory: ${idle.toFixed(0)} MB idle, ${loaded.toFixed(0)} MB with ` +
      `${STREAMS} streams, ` +
      `${(((loaded - idle) * 1_024) / STREAMS).toFixed(0)} KB a stream; ` +
      `${((spent / seconds) * 100).toFixed(0)}% of a core on average`,
  );
  printErrors('gateway', through);
}

const program = new Command('bench')
  .option('--part <name>', `one of ${PARTS.join(', ')}; all by default`)
  .option('--seconds <n>', 'duration of one measurement, in seconds', '6')
  .parse();
const options = program.opts<{part?: Part; seconds: string}>();
const seconds = Number(options.seconds);
const isSelected = (part: Part) => !options.part || options.part === part;
if (isSelected('latency')) await measureLatency(seconds);
if (isSelected('throughput')) {
  await measureThroughput(seconds, true);
  await measureThroughput(seconds, false);
}
if (isSelected('streams')) await measureStreams(seconds * 3);
