/**
 * Generates load for a given time and prints the measurements as JSON.
 *
 * Takes one argument, a JSON object as described by `loadOptionsSchema`.
 */
import {
  build as buildHistogram,
  encodeIntoCompressedBase64,
} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import * as z from 'zod';

const loadOptionsSchema = z.object({
  /** Target addresses in the form IP:PORT, used in turn. */
  addresses: z.array(z.string()).min(1),
  key: z.string(),
  model: z.string(),
  /** Number of concurrent requests. */
  concurrency: z.int().positive(),
  seconds: z.number().positive(),
  /** Time over which the concurrent requests are started. */
  rampSeconds: z.number().nonnegative().default(0),
  tokens: z.int().positive(),
  /** Length of the prompt, in characters. */
  promptCharacters: z.int().positive().default(400),
});

/** Histograms hold microseconds. */
const MICROSECONDS_PER_MS = 1_000;
const HIGHEST_MICROSECONDS = 120_000_000;

const options = loadOptionsSchema.parse(JSON.parse(process.argv[2] ?? '{}'));
const agent = new Agent({connections: null, pipelining: 1});
const createHistogram = () =>
  buildHistogram({
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
  });
const durations = createHistogram();
const firstTokens = createHistogram();
const gaps = createHistogram();
const errors = new Map<string, number>();
let answered = 0;
let isEnding = false;

function recordMs(histogram: typeof durations, ms: number): void {
  const value = Math.max(1, Math.round(ms * MICROSECONDS_PER_MS));
  histogram.recordValue(Math.min(value, HIGHEST_MICROSECONDS));
}

async function sendCompletion(count: number): Promise<void> {
  const address = options.addresses[count % options.addresses.length] ?? '';
  const startedAt = performance.now();
  const response = await request(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    dispatcher: agent,
    headers: {
      authorization: `Bearer ${options.key}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({
      model: options.model,
      stream: true,
      max_tokens: options.tokens,
      messages: [
        {
          role: 'user',
          content: `${count} `.padEnd(options.promptCharacters, 'x'),
        },
      ],
    }),
  });
  let lastTokenAt = 0;
  let tail = '';
  for await (const part of response.body) {
    const now = performance.now();
    const text = String(part);
    tail = (tail + text).slice(-200);
    if (!text.includes('"content":"') || text.includes('"role"')) {
      if (!text.includes('"role"') || text.split('data:').length < 3) continue;
    }
    if (lastTokenAt === 0) recordMs(firstTokens, now - startedAt);
    else recordMs(gaps, now - lastTokenAt);
    lastTokenAt = now;
    if (isEnding) break;
  }
  if (isEnding) return;
  if (response.statusCode === 200 && tail.includes('[DONE]')) {
    answered++;
    recordMs(durations, performance.now() - startedAt);
  } else {
    const kind = `${response.statusCode} ${tail.slice(-120)}`;
    errors.set(kind, (errors.get(kind) ?? 0) + 1);
  }
}

async function runSender(slot: number): Promise<void> {
  const delayMs = (options.rampSeconds * 1_000 * slot) / options.concurrency;
  await new Promise(resolve => setTimeout(resolve, delayMs));
  for (let count = slot; !isEnding; count += options.concurrency) {
    try {
      await sendCompletion(count);
    } catch (error) {
      if (isEnding) return;
      const kind = (error as Error).message;
      errors.set(kind, (errors.get(kind) ?? 0) + 1);
      await new Promise(resolve => setTimeout(resolve, 100));
    }
  }
}

const startedAt = performance.now();
const senders = Array.from({length: options.concurrency}, (_, slot) =>
  runSender(slot),
);
setTimeout(() => {
  isEnding = true;
  const seconds = (performance.now() - startedAt) / 1_000;
  const report = {
    answered,
    seconds,
    errors: [...errors],
    durations: encodeIntoCompressedBase64(durations),
    firstTokens: encodeIntoCompressedBase64(firstTokens),
    gaps: encodeIntoCompressedBase64(gaps),
  };
  process.stdout.write(`${JSON.stringify(report)}\n`, () => process.exit(0));
}, options.seconds * 1_000);
await Promise.all(senders);
