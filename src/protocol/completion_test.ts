import assert from 'node:assert/strict';
import {test} from 'uvu';
import {completionRequestSchema} from './completion.ts';

test('completionRequestSchema keeps unknown fields', () => {
  const request = {
    model: 'm',
    messages: [{role: 'user', content: 'a', name: 'n'}],
    stream: false,
    seed: 1,
  };
  assert.deepEqual(completionRequestSchema.parse(request), request);
});

test('completionRequestSchema refuses requests without messages', () => {
  for (const messages of [undefined, null, {}, [], [{content: 'a'}], ['a']]) {
    const parsed = completionRequestSchema.safeParse({model: 'm', messages});
    assert.equal(parsed.success, false, JSON.stringify(messages));
  }
});

// Guards against a gateway that is busy for seconds with the errors of one body.
test('completionRequestSchema names few of many invalid messages', () => {
  const messages = Array(100_000).fill(1);
  const parsed = completionRequestSchema.safeParse({model: 'm', messages});
  assert.deepEqual(parsed.error?.issues[0]?.path, ['messages', 0]);
  const count = parsed.error?.issues.length ?? 0;
  assert.ok(count < 10, `${count} errors`);
});

test.run();
