/** The example declarations and settings are valid without changes. */
import {readFile} from 'node:fs/promises';
import {parse} from 'smol-toml';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {settingsSchema} from '../../src/protocol/settings.ts';
import {parseToml} from '../../src/protocol/toml.ts';
import {System} from '../system/system.ts';

const USERS = ['plovdiv', 'tamar'];

test("both users' declarations are applied and in force", async () => {
  const place = {region: 'plovdiv', dataCentre: 'plovdiv-a'};
  await using system = await System.start({
    hosts: [{name: 'a1', ...place, disk: true}],
    endpoints: [],
  });
  await system.waitForAllHosts();
  let version = 0;
  for (const user of USERS) {
    const text = await readFile(`examples/${user}/declaration.toml`, 'utf8');
    const applied = await system.apply('a1', {
      ...parse(text),
      version: ++version,
    });
    assert.is(applied.code, 0, applied.output + applied.errors);
    const status = await system.readStatus('a1');
    assert.is(status.version, version);
  }
});

test("both users' settings match the schema", async () => {
  for (const user of USERS) {
    const text = await readFile(`examples/${user}/settings.toml`, 'utf8');
    const parsed = parseToml(text, settingsSchema);
    assert.ok(parsed.ok, JSON.stringify(parsed));
  }
});

test.run();
