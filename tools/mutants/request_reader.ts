/** Mutants of what reads requests ahead of the parser. */
import type {Suite} from './suite.ts';

const READER = 'src/transport/request_reader/request_reader.ts';
const CHUNKS = 'src/transport/request_reader/chunk_scanner.ts';
const SECTIONS = 'src/transport/request_reader/section_scanner.ts';

export const REQUEST_READER: Suite = {
  tests: ['src/transport/request_reader/request_reader_test.ts'],
  env: {},
  mutants: [
    {
      name: 'unbounded-sections',
      edits: [
        {
          file: READER,
          from: 'longest > getMaxHeaderBytes()',
          to: 'longest > getMaxHeaderBytes() * Infinity',
        },
      ],
    },
    {
      name: 'unbounded-empty-lines',
      edits: [
        {
          file: READER,
          from: 'this.emptyLineBytes += start;',
          to: 'this.emptyLineBytes = start;',
        },
        {
          file: READER,
          from: 'Math.max(section.longestPartBytes, this.emptyLineBytes)',
          to: 'section.longestPartBytes',
        },
      ],
    },
    {
      name: 'counts-the-end-of-a-section',
      edits: [
        {
          file: SECTIONS,
          from: 'this.bytes -= openBytes;',
          to: 'this.bytes += 2;',
        },
      ],
    },
    {
      name: 'all-heads-in-one-turn',
      edits: [
        {
          file: READER,
          from: "this.phase = 'head';\n    this.mustYield = true;",
          to: "this.phase = 'head';",
        },
      ],
    },
    {
      name: 'costs-nothing',
      edits: [
        {
          file: READER,
          from: 'computeHeaderCost(this.section);',
          to: '0 * computeHeaderCost(this.section);',
        },
      ],
    },
    {
      name: 'never-waits-for-memory',
      edits: [
        {
          file: READER,
          from: "this.openCount === 0 || this.phase === 'trailers'",
          to: 'this.openCount >= 0',
        },
      ],
    },
    {
      name: 'keeps-the-memory-of-trailers',
      edits: [
        {
          file: READER,
          from: 'current.trailers?.release();',
          to: '',
        },
      ],
    },
    {
      name: 'hands-over-while-paused',
      edits: [
        {
          file: READER,
          from: 'this.isScheduled || this.isPaused;',
          to: 'this.isScheduled;',
        },
        {
          file: READER,
          from: '    if (this.isPaused) return;\n',
          to: '',
        },
      ],
    },
    {
      name: 'decimal-chunk-sizes',
      edits: [
        {
          file: CHUNKS,
          from: 'this.sizeBytes * 16 + digit',
          to: 'this.sizeBytes * 10 + digit',
        },
      ],
    },
    {
      name: 'no-trailers',
      edits: [
        {
          file: READER,
          from: "if (this.chunks.isAtTrailers) this.phase = 'trailers';",
          to: 'if (this.chunks.isAtTrailers) this.endMessage();',
        },
      ],
    },
  ],
  mustFail: true,
  describeOutput: () => [],
};
