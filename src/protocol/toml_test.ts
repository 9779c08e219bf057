import fc from 'fast-check';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {declarationSchema} from './declaration.ts';
import {settingsSchema} from './settings.ts';
import {parseToml} from './toml.ts';

const SEED = 20261203;

test('parseToml() reports the line of an error', () => {
  const text = 'version = 1\n\n[[pools]]\nname = "p"\nconcurrency = "many"\n';
  const parsed = parseToml(text, declarationSchema);
  assert.is(parsed.ok, false);
  if (parsed.ok) return;
  assert.is(parsed.error[0]?.line, 5);
  assert.is(parsed.error[0]?.path, 'pools.0.concurrency');
});

test('parseToml() returns errors and never throws on any text', () => {
  const lines = fc.oneof(
    fc.string({maxLength: 60}),
    fc.constantFrom('[[pools]]', '[listen]', 'name = "p"', 'version = 1'),
    fc
      .tuple(fc.stringMatching(/^[a-z_]{1,12}$/), fc.jsonValue())
      .map(([name, value]) => `${name} = ${JSON.stringify(value)}`),
  );
  const texts = fc.array(lines, {maxLength: 12}).map(each => each.join('\n'));
  fc.assert(
    fc.property(texts, text => {
      const parsed = parseToml(text, settingsSchema);
      assert.is(parsed.ok, false);
      if (parsed.ok) return;
      assert.ok(parsed.error.every(issue => issue.line >= 1));
      assert.ok(parsed.error.every(issue => issue.message !== ''));
    }),
    {seed: SEED, numRuns: 500},
  );
});

test.run();
