/** Mutants of the account of memory and of what draws on it. */
import type {Suite} from './suite.ts';

const ACCOUNT = 'src/coordination/memory_account/memory_account.ts';
const BUFFER = 'src/transport/memory/body_buffer.ts';
const GUARD = 'src/transport/memory/connection_guard.ts';
const REQUEST = 'src/transport/memory/guarded_request.ts';
const READER = 'src/transport/public/read_body.ts';

export const MEMORY: Suite = {
  tests: [
    'src/coordination/memory_account/memory_account_test.ts',
    'src/transport/memory/body_buffer_test.ts',
    'src/transport/memory/connection_guard_test.ts',
  ],
  env: {},
  mutants: [
    {
      name: 'no-budget',
      edits: [
        {
          file: ACCOUNT,
          from: 'while (this.sumBytes + bytes - holder.bytes > budgetBytes) {',
          to: 'while (this.sumBytes + bytes > Infinity + budgetBytes) {',
        },
      ],
    },
    {
      name: 'no-share',
      edits: [
        {
          file: ACCOUNT,
          from: 'if (owned + bytes - holder.bytes > Math.max(shareBytes, largestBytes))',
          to: 'if (owned > Infinity + Math.max(shareBytes, largestBytes))',
        },
      ],
    },
    {
      name: 'evicts-any-rank',
      edits: [
        {
          file: ACCOUNT,
          from: 'if (each === holder || each.eviction !== rank) continue;',
          to: 'if (each === holder) continue;',
        },
      ],
    },
    {
      name: 'size-alone',
      edits: [
        {
          file: ACCOUNT,
          from: 'return bytes * (AGE_OFFSET_MS + now - idleSince);',
          to: 'return bytes * AGE_OFFSET_MS + 0 * (now - idleSince);',
        },
      ],
    },
    {
      name: 'keeps-small-chunks',
      edits: [
        {
          file: BUFFER,
          from: 'return length >= MIN_KEPT_BYTES ||',
          to: 'return length >= MIN_KEPT_BYTES * 0 ||',
        },
      ],
    },
    {
      name: 'forwarded-bodies-are-evicted',
      edits: [
        {
          file: READER,
          from: "memory?.setEviction('never');",
          to: "memory?.setEviction('first');",
        },
      ],
    },
    {
      name: 'unbounded-pipeline',
      edits: [
        {
          file: GUARD,
          from: 'connection.open.size > MAX_PIPELINED',
          to: 'connection.open.size > MAX_PIPELINED * Infinity',
        },
      ],
    },
    {
      name: 'unread-answers-stay',
      edits: [
        {
          file: GUARD,
          from: 'socket.setTimeout(stallTimeoutMs);',
          to: 'socket.setTimeout(0 * stallTimeoutMs);',
        },
      ],
    },
    {
      name: 'unread-answers-uncounted',
      edits: [
        {
          file: REQUEST,
          from: 'if (bytes < MIN_COUNTED_ANSWER_BYTES) return true;',
          to: 'if (bytes < MIN_COUNTED_ANSWER_BYTES * Infinity) return true;',
        },
      ],
    },
    {
      name: 'keeps-idle-connections',
      edits: [
        {
          file: GUARD,
          from: 'if (socket === added) return;',
          to: 'if (socket !== added || added) return;',
        },
      ],
    },
  ],
  mustFail: true,
  describeOutput: () => [],
};
