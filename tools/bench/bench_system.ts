/** Starts the measured processes: daemons, engines and the baseline. */
import {readFile} from 'node:fs/promises';
import {request} from 'undici';
import {TestProcess} from '../../testing/system/child_process.ts';
import {allocateLoopback} from '../../testing/system/loopback.ts';
import {hashKey, System, waitFor} from '../../testing/system/system.ts';

export const CUSTOMER_KEY = 'bench-key';
export const MODEL = 'draft';

const BASELINE_PORT = 8090;

export interface BenchSystemOptions {
  /** Whether the ledger is on the gateway's own host. */
  readonly localLedger: boolean;
  readonly engines: number;
  readonly firstTokenMs?: number;
  readonly tokenMs?: number;
  /** Requests that one engine runs concurrently. */
  readonly slots?: number;
}

const place = {region: 'plovdiv', dataCentre: 'plovdiv-a'};

/** A running system with one gateway, and the pass-through baseline. */
export class BenchSystem implements AsyncDisposable {
  private constructor(
    private readonly system: System,
    private readonly passThrough: TestProcess,
    readonly engines: readonly string[],
    readonly passThroughAddress: string,
  ) {}

  static async start(options: BenchSystemOptions): Promise<BenchSystem> {
    const {slots = 1_024} = options;
    const names = Array.from({length: options.engines}, (_, i) => `e${i}`);
    const hosts = options.localLedger
      ? [{name: 'gateway', ...place, disk: true}]
      : [
          {name: 'gateway', ...place, disk: false},
          {name: 'ledger', ...place, disk: true},
        ];
    const system = await System.start({
      hosts,
      endpoints: names.map(name => ({
        name,
        kind: 'engine' as const,
        ...place,
        pool: 'drafting',
        versions: [`${MODEL}/small`],
        announceTo: ['gateway'],
        slots,
        tokens: 100_000,
        firstTokenMs: options.firstTokenMs ?? 0,
        tokenMs: options.tokenMs ?? 0,
      })),
    });
    const engines = names.map(name => system.getEndpointAddress(name));
    const address = `${allocateLoopback()}:${BASELINE_PORT}`;
    const passThrough = new TestProcess('pass-through', [
      process.execPath,
      'dist/bench/pass_through.mjs',
      JSON.stringify({address, engines}),
    ]);
    passThrough.start();
    const bench = new BenchSystem(system, passThrough, engines, address);
    await bench.prepare(names, slots);
    return bench;
  }

  get gatewayAddress(): string {
    return this.system.getPublicAddress('gateway');
  }

  /** Resident memory of the gateway, in megabytes. */
  async readGatewayMemoryMb(): Promise<number> {
    const pid = this.system.daemons.get('gateway')?.pid;
    const status = await readFile(`/proc/${pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) / 1_024;
  }

  /** CPU time of the gateway since its start, in seconds. */
  readGatewayCpuSeconds(): Promise<number> {
    return readCpuSeconds(this.system.daemons.get('gateway')?.pid);
  }

  /** CPU time of the baseline since its start, in seconds. */
  readPassThroughCpuSeconds(): Promise<number> {
    return readCpuSeconds(this.passThrough.pid);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.passThrough.kill();
    await this.system[Symbol.asyncDispose]();
  }

  private async prepare(names: string[], slots: number): Promise<void> {
    await this.system.waitForAllHosts();
    const applied = await this.system.apply('gateway', {
      version: 1,
      pools: [{name: 'drafting', concurrency: slots, queue: 4_096}],
      versions: [
        {
          model: MODEL,
          name: 'small',
          pool: 'drafting',
          prompt_price: 10,
          completion_price: 20,
          expected_quality: 0.9,
        },
      ],
      customers: [
        {
          name: 'bench',
          key_sha256: hashKey(CUSTOMER_KEY),
          versions: [`${MODEL}/*`],
          concurrency: 8_192,
        },
      ],
    });
    if (applied.code !== 0) throw new Error(applied.output + applied.errors);
    await waitFor('requests are answered', async () => {
      const response = await request(
        `http://${this.gatewayAddress}/v1/chat/completions`,
        {
          method: 'POST',
          headers: {authorization: `Bearer ${CUSTOMER_KEY}`},
          body: JSON.stringify({
            model: MODEL,
            max_tokens: names.length,
            messages: [{role: 'user', content: 'x'}],
          }),
        },
      );
      await response.body.dump();
      return response.statusCode === 200;
    });
  }
}

/** Clock ticks of CPU time per second, on Linux. */
const TICKS_PER_SECOND = 100;

async function readCpuSeconds(pid: number | undefined): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}
