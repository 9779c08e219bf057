import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {checkDeclaration} from './check_declaration.ts';
import {declarationSchema} from './declaration.ts';
import {formatIssue, parseToml} from './toml.ts';

const soundText = `version = 1
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

function findMistakes(text: string): string[] {
  const parsed = parseToml(text, declarationSchema, checkDeclaration);
  return parsed.ok ? [] : parsed.error.map(each => formatIssue('d.toml', each));
}

test('a sound declaration has no mistakes', () => {
  assert.equal(findMistakes(soundText), []);
});

test('names that are not declared are reported with their line', () => {
  const mistakes: Array<[string, string, string]> = [
    ['pool = "filing"', 'pool = "none"', 'd.toml:22: services.0.pool'],
    ['"draft/*"', '"other/*"', 'd.toml:28: customers.0.versions.0'],
    ['["archive"]', '["church"]', 'd.toml:29: customers.0.services.0'],
    ['version = "v2"', 'version = "v3"', 'd.toml:33: rollouts.0.version'],
  ];
  for (const [from, to, expected] of mistakes) {
    const [first = ''] = findMistakes(soundText.replace(from, to));
    assert.ok(first.startsWith(`${expected}: `), `${to}: ${first}`);
    assert.match(first, 'is not declared');
  }
});

test('stages that do not grow are refused', () => {
  const text = soundText.replace('[0.1, 0.5, 1.0]', '[0.1, 0.5, 0.2]');
  assert.equal(findMistakes(text), [
    'd.toml:35: rollouts.0.stages: each stage must be larger than the last',
  ]);
});

test('a name, a key or a call that stands twice is refused', () => {
  const twice = `${soundText}
[[customers]]
name = "clerks"
key_sha256 = "${'0'.repeat(64)}"
`;
  assert.equal(findMistakes(twice), [
    'd.toml:38: customers.1.name: "clerks" stands twice',
    'd.toml:39: customers.1.key_sha256: this key stands twice',
  ]);
  const version = soundText.replace('name = "v2"', 'name = "v1"');
  assert.match(findMistakes(version)[0] ?? '', '"draft/v1" stands twice');
});

test('a pool serves versions or one service', () => {
  const text = soundText.replace('pool = "filing"', 'pool = "desk"');
  assert.match(findMistakes(text)[0] ?? '', 'serves versions or another');
});

test.run();
