/** Answers whose endpoint falls silent, over real connections. */
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {RequestError} from '../../protocol/completion.ts';
import type {FakeGateway} from '../../coordination/requests/request_fakes.ts';
import {
  runCompletion,
  type CompletionEvent,
} from '../../coordination/requests/run_completion.ts';
import {
  dead,
  openSetting,
  pausing,
  spendRetries,
  well,
} from './pausing_engine_fake.ts';

/** How long an attempt may work on beside its successor. */
const MAX_OVERLAP_MS = 100;

interface CompleteOptions {
  readonly deadlineMs?: number;
  readonly onDelta?: () => void;
}

async function complete(
  gateway: FakeGateway,
  {deadlineMs = 4_000, onDelta = () => {}}: CompleteOptions = {},
) {
  const startedAt = performance.now();
  const events: CompletionEvent[] = [];
  let error: RequestError | undefined;
  const call = gateway.createCompletion({deadlineMs});
  const {signal} = new AbortController();
  for await (const event of runCompletion(call, gateway.context, signal)) {
    if (!event.ok) {
      error = event.error;
      continue;
    }
    events.push(event.value);
    if (event.value.type === 'delta') onDelta();
  }
  const text = events
    .map(each => (each.type === 'delta' ? each.text : ''))
    .join('');
  const attempts = gateway.context.history.explain('req_1')?.attempts ?? [];
  return {
    text,
    whole: events.at(-1)?.type === 'end',
    error: error?.message,
    tried: attempts.map(each => each.endpoint),
    ms: performance.now() - startedAt,
  };
}

const WHOLE = '0 1 2 3 4 5 ';

/** Checks that the caller got the whole answer, from these endpoints. */
function assertWhole(
  answer: Awaited<ReturnType<typeof complete>>,
  tried: readonly string[],
): void {
  assert.is(answer.error, undefined);
  assert.ok(answer.whole, `the answer ended after "${answer.text}"`);
  assert.is(answer.text, WHOLE);
  assert.equal(answer.tried, tried);
}

// Guards against ending an answer that its only endpoint still makes.
test('a silent answer is kept while no other endpoint takes work', async () => {
  await using setting = await openSetting({e1: pausing});
  assertWhole(await complete(setting.gateway), ['e1']);
  const {stalls} = setting.gateway;
  assert.equal(
    stalls.map(each => each.outcome),
    ['wait', 'spoke'],
  );
});

// Guards against a silent answer that ends without a reason in the log.
test('a silent answer ends at its deadline, and the log says why', async () => {
  await using setting = await openSetting({e1: dead});
  const {gateway} = setting;
  const lines: Array<[string, unknown]> = [];
  const write = (message: string, fields?: object) => {
    lines.push([message, (fields as {refusedBy?: string}).refusedBy]);
  };
  const logger = {...gateway.context.logger, info: write, warn: write};
  Object.assign(gateway.context, {logger});
  const answer = await complete(gateway, {deadlineMs: 700});
  assert.is(answer.text, '0 1 2 ');
  assert.match(answer.error ?? '', 'the deadline passed');
  const reason = 'no other endpoint takes work';
  assert.equal(
    lines.filter(([, refusedBy]) => refusedBy !== undefined),
    [
      ['Decides on a silent attempt.', reason],
      ['Ends a silent attempt that was kept.', reason],
    ],
  );
  assert.equal(
    gateway.stalls.map(each => each.outcome),
    ['wait', 'ended'],
  );
});

// Guards against ending an answer after a second connection fell silent too.
test('a silent answer is kept after it resumed on a new connection', async () => {
  await using setting = await openSetting({'e1+': pausing});
  assertWhole(await complete(setting.gateway), ['e1+', 'e1+']);
});

// Guards against ending the last attempt because no further one is allowed.
test('a silent answer is kept if its attempts are used up', async () => {
  await using setting = await openSetting({
    e1: dead,
    e2: dead,
    e3: dead,
    e4: pausing,
    e5: well,
  });
  assertWhole(await complete(setting.gateway), ['e1', 'e2', 'e3', 'e4']);
});

// Guards against ending an attempt for a retry that the budget refuses.
test('a silent attempt is kept while the retry budget is spent', async () => {
  await using setting = await openSetting({
    e1: {...pausing, pausedChunk: -1},
    e2: well,
  });
  spendRetries(setting.gateway);
  assertWhole(await complete(setting.gateway), ['e1']);
});

// Guards against ending an answer for one of a version withdrawn meanwhile.
test('a silent answer is kept if its version is withdrawn', async () => {
  await using setting = await openSetting({e1: pausing, e2: well});
  const {gateway} = setting;
  const onDelta = () => {
    if (!gateway.view) return;
    const withdrawals = [{version: 'draft/small', reason: 'bad'}];
    gateway.view = {...gateway.view, withdrawals};
  };
  const answer = await complete(gateway, {onDelta});
  assertWhole(answer, ['e1']);
});

// Guards against ending an answer because the gateway lost its lease.
test('a silent answer is kept while the gateway has no lease', async () => {
  await using setting = await openSetting({e1: pausing, e2: well});
  const {gateway} = setting;
  const onDelta = () => {
    gateway.view = null;
  };
  const answer = await complete(gateway, {onDelta});
  assertWhole(answer, ['e1']);
});

// Guards against ending answers when a whole service falls silent.
test('an answer is kept if all endpoints are silent', async () => {
  await using setting = await openSetting({e1: pausing, e2: pausing});
  assertWhole(await complete(setting.gateway), ['e1', 'e2']);
});

// Guards against waiting for an endpoint that never speaks again.
test('a silent endpoint is left in time, and before its successor', async () => {
  await using setting = await openSetting({e1: dead, e2: well});
  const answer = await complete(setting.gateway);
  assertWhole(answer, ['e1', 'e2']);
  assert.ok(answer.ms < 600, `the answer took ${answer.ms} ms`);
  const left = setting.engines['e1']?.work[0]?.endedAt ?? Infinity;
  const taken = setting.engines['e2']?.work[0]?.startedAt ?? 0;
  assert.ok(left - taken < MAX_OVERLAP_MS, `overlap of ${left - taken} ms`);
});

// Guards against a decision to wait that is never taken back.
test('a silent endpoint is left once a retry is allowed again', async () => {
  await using setting = await openSetting({
    e1: {...dead, pausedChunk: -1},
    e2: well,
  });
  const {gateway} = setting;
  spendRetries(gateway);
  const refill = setTimeout(() => {
    for (let count = 0; count < 20; count++) {
      gateway.context.decisions.retryBudget.deposit();
    }
  }, 500);
  const answer = await complete(gateway);
  clearTimeout(refill);
  assertWhole(answer, ['e1', 'e2']);
  assert.ok(answer.ms < 1_200, `the answer took ${answer.ms} ms`);
});

// Guards against holding a silent answer while another version could answer.
test('a silent endpoint is left for a fallback version', async () => {
  await using setting = await openSetting({
    e1: {...dead, pausedChunk: -1},
    e2: well,
  });
  const [first, second] = setting.gateway.context.listEndpoints();
  if (first) Object.assign(first, {versions: ['draft/small']});
  if (second) Object.assign(second, {versions: ['draft/large']});
  const answer = await complete(setting.gateway);
  assertWhole(answer, ['e1', 'e2']);
  assert.ok(answer.ms < 900, `the answer took ${answer.ms} ms`);
});

test.run();
