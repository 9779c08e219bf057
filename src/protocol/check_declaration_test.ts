import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {checkDeclaration} from './check_declaration.ts';
import {declarationSchema} from './declaration.ts';
import {formatIssue, parseToml} from './toml.ts';

const validText = `version = 1
pools = [{name = "desk"}, {name = "filing"}]

[[versions]]
model = "draft"
name = "v1"
pool = "desk"
prompt_price = 1
completion_price = 1
expected_quality = 0.9

[[versions]]
model = "draft"
name = "v2"
pool = "desk"
prompt_price = 1
completion_price = 1
expected_quality = 0.9

[[services]]
name = "archive"
pool = "filing"
calls = [{method = "POST", path = "/notices"}]

[[customers]]
name = "clerks"
key_sha256 = "${'0'.repeat(64)}"
versions = ["draft/*"]
services = ["archive"]

[[rollouts]]
model = "draft"
version = "v2"
stable = "v1"
stages = [0.1, 0.5, 1.0]
`;

function listErrors(text: string): string[] {
  const parsed = parseToml(text, declarationSchema, checkDeclaration);
  return parsed.ok ? [] : parsed.error.map(each => formatIssue('d.toml', each));
}

test('checkDeclaration() accepts a valid declaration', () => {
  assert.equal(listErrors(validText), []);
});

test('undeclared names are reported with their line', () => {
  const replacements: Array<[string, string, string]> = [
    ['pool = "filing"', 'pool = "none"', 'd.toml:22: services.0.pool'],
    ['"draft/*"', '"other/*"', 'd.toml:28: customers.0.versions.0'],
    ['["archive"]', '["church"]', 'd.toml:29: customers.0.services.0'],
    ['version = "v2"', 'version = "v3"', 'd.toml:33: rollouts.0.version'],
  ];
  for (const [from, to, expected] of replacements) {
    const [first = ''] = listErrors(validText.replace(from, to));
    assert.ok(first.startsWith(`${expected}: `), `${to}: ${first}`);
    assert.match(first, 'is not declared');
  }
});

test('stages that do not increase are rejected', () => {
  const text = validText.replace('[0.1, 0.5, 1.0]', '[0.1, 0.5, 0.2]');
  assert.equal(listErrors(text), [
    'd.toml:35: rollouts.0.stages: each stage must be larger than the last',
  ]);
});

test('duplicate names and keys are rejected', () => {
  const twice = `${validText}
[[customers]]
name = "clerks"
key_sha256 = "${'0'.repeat(64)}"
`;
  assert.equal(listErrors(twice), [
    'd.toml:38: customers.1.name: "clerks" stands twice',
    'd.toml:39: customers.1.key_sha256: this key stands twice',
  ]);
  const version = validText.replace('name = "v2"', 'name = "v1"');
  assert.match(listErrors(version)[0] ?? '', '"draft/v1" stands twice');
});

test('a pool cannot serve both versions and a service', () => {
  const text = validText.replace('pool = "filing"', 'pool = "desk"');
  assert.match(listErrors(text)[0] ?? '', 'serves versions or another');
});

test.run();
