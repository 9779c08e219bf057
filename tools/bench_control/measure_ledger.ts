/** Measures time and memory of ledger commands, without a replicated log. */
import {LedgerState} from '../../src/state/ledger/ledger_state.ts';
import {encodeFrame} from '../../src/state/log/frames.ts';

const ENTRIES = 200_000;

/** Admits and settles many keys, and measures the memory they retain. */
export function measureLedger(): string[] {
  const state = new LedgerState();
  const start = readMemoryBytes();
  const admitUs = measureUs(number => {
    state.apply({
      type: 'admit',
      requestId: `req_${formatNumber(number)}`,
      customer: `customer-${number % 10}`,
      key: `key-${formatNumber(number)}`,
      digest: formatNumber(number).repeat(4),
      repeatable: false,
      gateway: 'host-1/inc_0123456789abcdef01234567',
      repin: false,
      atMs: number,
    });
  });
  const open = readMemoryBytes();
  const settleUs = measureUs(number => {
    state.apply({
      type: 'settle',
      requestId: `req_${formatNumber(number)}`,
      customer: `customer-${number % 10}`,
      key: `key-${formatNumber(number)}`,
      status: 'answered',
      bill: {
        target: 'draft/small',
        endpoint: 'engine-1',
        promptTokens: 900,
        completionTokens: 214,
        cost: 12.5,
      },
      atMs: number,
    });
  });
  const settled = readMemoryBytes();
  state.apply({type: 'archive_bills', through: ENTRIES});
  const archived = readMemoryBytes();
  const snapshotAt = performance.now();
  const bytes = encodeFrame(state.createSnapshot()).length;
  const snapshotMs = performance.now() - snapshotAt;
  const times = {openBeforeMs: 0, settledBeforeMs: ENTRIES, atMs: ENTRIES};
  const sweepAt = performance.now();
  let sweeps = 0;
  while (state.needsSweep(times)) {
    state.apply({type: 'sweep', lostGateways: [], ...times});
    sweeps++;
  }
  const sweepMs = (performance.now() - sweepAt) / sweeps;
  const perEntry = (bytesUsed: number) => (bytesUsed / ENTRIES).toFixed(0);
  return [
    `ledger, ${ENTRIES} keys: admit ${admitUs} µs, settle ${settleUs} µs`,
    `ledger: ${perEntry(open - start)} B an open key, ${perEntry(archived - start)} B a settled key, ${perEntry(settled - archived)} B a bill`,
    `ledger: snapshot without bills ${(bytes / 1e6).toFixed(1)} MB in ${snapshotMs.toFixed(0)} ms, a sweep of at most 5,000 in ${sweepMs.toFixed(1)} ms`,
  ];
}

function measureUs(run: (number: number) => void): string {
  const startedAt = performance.now();
  for (let number = 0; number < ENTRIES; number++) run(number);
  return (((performance.now() - startedAt) * 1_000) / ENTRIES).toFixed(1);
}

function formatNumber(number: number): string {
  return number.toString(16).padStart(16, '0');
}

function readMemoryBytes(): number {
  // External memory is freed only after the objects that own it, so that one
  // collection is not enough.
  for (let turn = 0; turn < 3; turn++) globalThis.gc?.();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}
