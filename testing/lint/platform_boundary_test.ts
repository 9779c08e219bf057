import assert from 'node:assert/strict';
import {ESLint} from 'eslint';
import {test} from 'uvu';

async function listRules(filePath: string, code: string): Promise<string[]> {
  const eslint = new ESLint();
  const [result] = await eslint.lintText(code, {filePath});
  return (result?.messages ?? []).map(({ruleId}) => ruleId ?? '');
}

test('the linter rejects a wire header name outside platform/', async () => {
  // Joined at run time, because the rule would match the literal in this file.
  const headerName = ['X', 'Response', 'Stamp'].join('-');
  const code = `export const NAME = '${headerName}';\n`;
  assert.deepEqual(await listRules('src/protocol/clock.ts', code), [
    'no-restricted-syntax',
  ]);
  assert.deepEqual(await listRules('platform/call_codec.ts', code), []);
});

test('the linter rejects an import from platform/', async () => {
  for (const folder of ['coordination', 'transport', 'cli']) {
    const code = "export * from '../../platform/manifest.ts';\n";
    assert.deepEqual(await listRules(`src/${folder}/some_file.ts`, code), [
      'no-restricted-imports',
    ]);
  }
});

test.run();
