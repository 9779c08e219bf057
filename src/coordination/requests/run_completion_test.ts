import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {RequestError} from '../../protocol/completion.ts';
import {fail, succeed} from '../../protocol/outcome.ts';
import type {CompletionCall} from './admission.ts';
import {
  createChunks,
  createEnd,
  createFailure,
  FakeGateway,
} from './request_fakes.ts';
import {runCompletion, type CompletionEvent} from './run_completion.ts';

async function complete(
  gateway: FakeGateway,
  options: Partial<CompletionCall> = {},
  context = gateway.context,
) {
  const call = gateway.createCompletion(options);
  const {signal} = new AbortController();
  const events: CompletionEvent[] = [];
  let error: RequestError | undefined;
  for await (const event of runCompletion(call, context, signal)) {
    if (event.ok) events.push(event.value);
    else error = event.error;
  }
  const text = events
    .map(event => (event.type === 'delta' ? event.text : ''))
    .join('');
  const version = events.find(event => event.type === 'start')?.version;
  const moved = events.some(event => event.type === 'accepted' && event.moved);
  const whole = events.at(-1)?.type === 'end';
  return {text, version, moved, whole, error};
}

test('runCompletion() relays a complete answer and bills it once', async () => {
  const gateway = new FakeGateway({
    e1: {complete: () => [...createChunks(0, 3), createEnd(3)]},
  });
  const answer = await complete(gateway);
  assert.is(answer.text, '0 1 2 ');
  assert.ok(answer.whole);
  assert.equal(
    gateway.bills.map(bill => [bill.target, bill.cost]),
    [['draft/small', 4]],
  );
  assert.is(gateway.requests[0]?.outcome, 'answered');
});

test('runCompletion() resumes an answer at another endpoint', async () => {
  const gateway = new FakeGateway({
    'e1+': {complete: () => [...createChunks(0, 2), createFailure('lost')]},
    'e2+': {
      complete: attempt => [
        ...createChunks(attempt.resumeOffset, 4),
        createEnd(4),
      ],
    },
  });
  const answer = await complete(gateway);
  assert.is(answer.text, '0 1 2 3 ');
  assert.ok(answer.whole);
  assert.is(gateway.completions[1]?.resumeOffset, 2);
  assert.is(gateway.completions[1]?.resumeText, '0 1 ');
  assert.is(gateway.bills.length, 1);
});

test('runCompletion() resumes at an idle endpoint before others', async () => {
  let runs = 0;
  const gateway = new FakeGateway({
    'e1+': {
      complete: attempt =>
        runs++ === 0
          ? [...createChunks(0, 2), createFailure('lost', true)]
          : [...createChunks(attempt.resumeOffset, 3), createEnd(3)],
    },
    'e2+': {complete: () => [createFailure('lost')]},
  });
  const answer = await complete(gateway);
  assert.is(answer.text, '0 1 2 ');
  assert.equal(
    gateway.completions.map(each => each.address),
    ['e1+', 'e1+'],
  );
});

test('runCompletion() continues after a rerun with the same prefix', async () => {
  const gateway = new FakeGateway({
    e1: {complete: () => [...createChunks(0, 2), createFailure('lost')]},
    e2: {complete: () => [...createChunks(0, 4), createEnd(4)]},
  });
  const answer = await complete(gateway);
  assert.is(answer.text, '0 1 2 3 ');
  assert.ok(answer.whole);
});

test('runCompletion() never joins two different answers', async () => {
  const gateway = new FakeGateway({
    e1: {complete: () => [...createChunks(0, 2), createFailure('lost')]},
    e2: {complete: () => [...createChunks(5, 9), createEnd(4)]},
  });
  const answer = await complete(gateway);
  assert.is(answer.text, '0 1 ');
  assert.not.ok(answer.whole);
  assert.is(answer.error?.outcome, 'unknown');
  assert.is(gateway.bills.length, 0);
});

test('runCompletion() accepts a different rerun for a held answer', async () => {
  const gateway = new FakeGateway({
    e1: {complete: () => [...createChunks(0, 2), createFailure('lost')]},
    e2: {complete: () => [...createChunks(5, 7), createEnd(2)]},
  });
  const {request} = gateway.createCompletion();
  const answer = await complete(gateway, {
    request: {...request, stream: false},
  });
  assert.is(answer.text, '5 6 ');
  assert.ok(answer.whole);
});

test('runCompletion() returns not-run only if nothing was sent', async () => {
  const away = new FakeGateway({e1: {}, e2: {}});
  const refused = await complete(away);
  assert.is(refused.error?.outcome, 'not-run');
  assert.ok((refused.error?.retryAfterMs ?? 0) > 0);
  const lossy = new FakeGateway({
    e1: {complete: () => [createFailure('lost')]},
    e2: {complete: () => [createFailure('not-sent')]},
  });
  assert.is((await complete(lossy)).error?.outcome, 'unknown');
});

test('runCompletion() allows reuse of a key after not-run', async () => {
  const gateway = new FakeGateway({e1: {}});
  await complete(gateway, {key: 'k'});
  await gateway.context.settler.waitUntilSettled();
  const again = await complete(gateway, {key: 'k', requestId: 'req_2'});
  assert.is(again.error?.outcome, 'not-run');
});

test('runCompletion() settles an admission of unknown outcome as not-run', async () => {
  const gateway = new FakeGateway({
    e1: {complete: () => [createEnd(0)]},
  });
  // The admission is committed, but the reply is lost.
  gateway.acceptsCommand = command => {
    if (command.type !== 'admit') return true;
    gateway.ledger.apply(command);
    return false;
  };
  const refused = await complete(gateway, {key: 'k'});
  assert.is(refused.error?.code, 'ledger-unavailable');
  assert.is(refused.error?.outcome, 'not-run');
  assert.is(gateway.completions.length, 0);
  await gateway.context.settler.waitUntilSettled();
  gateway.acceptsCommand = () => true;
  const again = await complete(gateway, {key: 'k', requestId: 'req_2'});
  assert.ok(again.whole);
});

test('runCompletion() delivers nothing that the ledger did not admit', async () => {
  const gateway = new FakeGateway({
    e1: {complete: () => [...createChunks(0, 2), createEnd(2)]},
  });
  gateway.acceptsCommand = command => command.type !== 'admit';
  const answer = await complete(gateway);
  assert.is(answer.text, '');
  assert.is(answer.error?.outcome, 'unknown');
  await gateway.context.settler.waitUntilSettled();
});

test('runCompletion() ends no answer whose bill is unconfirmed', async () => {
  const gateway = new FakeGateway({
    e1: {complete: () => [...createChunks(0, 2), createEnd(2)]},
  });
  gateway.acceptsCommand = command => command.type === 'admit';
  const answer = await complete(gateway, {deadlineMs: 100});
  assert.not.ok(answer.whole);
  assert.is(answer.error?.code, 'bill-unconfirmed');
  assert.is(gateway.bills.length, 0);
  // The bill is proposed until it is committed, and is applied once.
  gateway.acceptsCommand = () => true;
  await gateway.context.settler.waitUntilSettled();
  assert.is(gateway.bills.length, 1);
});

test('runCompletion() sends no request to a withdrawn version', async () => {
  const gateway = new FakeGateway({
    e1: {complete: () => [...createChunks(0, 2), createEnd(2)]},
  });
  const {submit} = gateway.context.ledger;
  const context = {
    ...gateway.context,
    ledger: {
      submit: async (...args: Parameters<typeof submit>) => {
        const result = await submit(...args);
        if (gateway.view) {
          const withdrawals = ['small', 'large'].map(name => ({
            version: `draft/${name}`,
            reason: 'bad',
          }));
          gateway.view = {...gateway.view, withdrawals};
        }
        return result;
      },
    },
  };
  const call = gateway.createCompletion({key: 'k'});
  const {signal} = new AbortController();
  let error: RequestError | undefined;
  for await (const event of runCompletion(call, context, signal)) {
    if (!event.ok) error = event.error;
  }
  assert.is(gateway.completions.length, 0);
  assert.is(error?.outcome, 'not-run');
});

test('runCompletion() moves a session off a withdrawn version', async () => {
  const gateway = new FakeGateway({
    e1: {complete: () => [...createChunks(0, 1), createEnd(1)]},
  });
  const session = 'session';
  const first = await complete(gateway, {session});
  assert.is(first.version, 'draft/small');
  assert.not.ok(first.moved);
  if (gateway.view) {
    const withdrawals = [{version: 'draft/small', reason: 'bad'}];
    gateway.view = {...gateway.view, withdrawals};
  }
  const ids = (id: string) => ({session, requestId: id, key: id});
  const second = await complete(gateway, ids('req_2'));
  assert.is(second.version, 'draft/large');
  assert.ok(second.moved);
  if (gateway.view) gateway.view = {...gateway.view, withdrawals: []};
  const third = await complete(gateway, ids('req_3'));
  assert.is(third.version, 'draft/large');
  assert.not.ok(third.moved);
});

test('runCompletion() cancels an answer and bills its relayed part', async () => {
  const gateway = new FakeGateway({
    e1: {complete: () => [...createChunks(0, 2), 'wait']},
  });
  const call = gateway.createCompletion();
  const left = new AbortController();
  let chunks = 0;
  let error: RequestError | undefined;
  const events = runCompletion(call, gateway.context, left.signal);
  for await (const event of events) {
    if (!event.ok) error = event.error;
    else if (event.value.type === 'delta' && ++chunks === 2) left.abort();
  }
  assert.is(error?.outcome, 'unknown');
  assert.equal(
    gateway.bills.map(bill => bill.completionTokens),
    [2],
  );
  assert.is(gateway.attempts[0]?.result, 'cancelled');
});

/** Plans `small`, held until it is rated, and then `large`. */
function planCascade(
  gateway: FakeGateway,
  score: number | null,
  shadow = false,
): FakeGateway['context'] {
  const {decisions, ...context} = gateway.context;
  return {
    ...context,
    rate: async () => (score === null ? fail('away') : succeed(score)),
    decisions: {
      ...decisions,
      plan: request => {
        const plan = decisions.plan(request);
        const [first] = plan.steps;
        const [second] = plan.fallbacks;
        if (!first || !second || request.pinned) return plan;
        const last = {...first, version: second};
        if (shadow) return {...plan, fallbacks: [], shadow: second};
        return {
          ...plan,
          steps: [
            {
              ...first,
              release: 'rated',
              minimumScore: 0.8,
              whenUnrated: 'next',
            },
            last,
          ],
          fallbacks: [],
        };
      },
    },
  };
}

function createCascade(): FakeGateway {
  return new FakeGateway({
    e1: {
      complete: ({version}) =>
        version === 'draft/small'
          ? [...createChunks(0, 2), createEnd(2)]
          : [...createChunks(7, 9), createEnd(2)],
    },
  });
}

test('runCompletion() releases an answer that reaches the minimum score', async () => {
  const gateway = createCascade();
  const answer = await complete(gateway, {}, planCascade(gateway, 0.9));
  assert.is(answer.version, 'draft/small');
  assert.is(answer.text, '0 1 ');
  assert.is(gateway.bills.length, 1);
});

test('runCompletion() delivers nothing of an answer rated low or not at all', async () => {
  for (const score of [0.5, null]) {
    const gateway = createCascade();
    const answer = await complete(gateway, {}, planCascade(gateway, score));
    assert.is(answer.version, 'draft/large');
    assert.is(answer.text, '7 8 ');
    assert.equal(
      gateway.bills.map(bill => bill.target),
      ['draft/large'],
    );
  }
});

test('runCompletion() pins a session to the version it released', async () => {
  const gateway = createCascade();
  const session = 'session';
  const first = await complete(gateway, {session}, planCascade(gateway, 0.5));
  assert.is(first.version, 'draft/large');
  const ids = {session, requestId: 'req_2', key: 'req_2'};
  const second = await complete(gateway, ids, planCascade(gateway, 0.9));
  assert.is(second.version, 'draft/large');
});

test('runCompletion() neither delivers nor bills a shadow', async () => {
  const gateway = createCascade();
  const context = planCascade(gateway, null, true);
  const answer = await complete(gateway, {}, context);
  assert.is(answer.text, '0 1 ');
  assert.equal(gateway.completions.map(each => each.version).sort(), [
    'draft/large',
    'draft/small',
  ]);
  assert.equal(
    gateway.bills.map(bill => bill.target),
    ['draft/small'],
  );
});

test('explain() returns the record of a request', async () => {
  const gateway = new FakeGateway({
    e1: {complete: () => [createFailure('not-sent')]},
    e2: {complete: () => [...createChunks(0, 2), createEnd(2)]},
  });
  await complete(gateway);
  const record = gateway.context.history.explain('req_1');
  assert.equal(record?.candidates, ['draft/small', 'draft/large']);
  assert.equal(
    record?.attempts.map(each => [each.endpoint, each.result]),
    [
      ['e1', 'not-sent'],
      ['e2', 'answered'],
    ],
  );
  assert.is(record?.outcome, 'answered');
  assert.is(record?.bill?.cost, 3);
});

test.run();
