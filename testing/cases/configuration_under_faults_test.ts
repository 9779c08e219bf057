/**
 * Under faults, an applied declaration takes effect on every daemon, and no
 * daemon returns to an older version.
 */
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {createSmallTopology} from '../system/topology.ts';
import {Scenario} from '../system/scenario.ts';
import {waitFor} from '../system/system.ts';

const IN_FORCE_BOUND_MS = 9_000;

const network = {callerMs: 1};
let scenario: Scenario;

test.before(async () => {
  scenario = await Scenario.start({...createSmallTopology(), network});
});

test.after(async () => {
  await scenario[Symbol.asyncDispose]();
});

async function restart(host: string): Promise<void> {
  scenario.system.daemons.get(host)?.start();
  await scenario.system.waitForHost(host);
}

async function readVersions(): Promise<Array<number | null>> {
  const {system} = scenario;
  const statuses = await Promise.all(
    [...system.daemons.keys()].map(host => system.readStatus(host)),
  );
  return statuses.map(status => status.version);
}

test('an apply takes effect on all daemons within the bound', async () => {
  const startedAt = Date.now();
  const version = await scenario.apply();
  assert.ok(Date.now() - startedAt < IN_FORCE_BOUND_MS);
  assert.equal(await readVersions(), [version, version, version, version]);
});

test('a reapplied file succeeds and different content conflicts', async () => {
  const version = await scenario.apply();
  const again = await scenario.applyAgain({}, 'a3');
  assert.is(again.code, 0, again.output);
  const other = await scenario.applyAgain({ledger: {retention_s: 60}}, 'a4');
  assert.is(other.code, 1);
  assert.is(JSON.parse(other.output).type, 'conflict');
  assert.equal(await readVersions(), [version, version, version, version]);
});

test('of concurrent applies of one version number one succeeds', async () => {
  const hosts = ['a1', 'a2', 'a3', 'a4'];
  const results = await scenario.applyConflicting(hosts);
  const codes = results.map(result => result.code).sort();
  assert.equal(codes, [0, 1, 1, 1], JSON.stringify(results));
  assert.is(new Set(await readVersions()).size, 1);
  assert.equal(await scenario.check('a1'), []);
});

test('a file applied while the leader dies can be reapplied', async () => {
  const leader = await scenario.system.findLeader();
  const through = ['a1', 'a2', 'a3'].find(host => host !== leader) ?? '';
  const applying = scenario.applyNext(through);
  await scenario.system.daemons.get(leader)?.kill();
  const first = await applying;
  const again = await scenario.applyAgain({}, through);
  assert.is(again.code, 0, `${first.output} ${again.output}`);
  await restart(leader);
  assert.equal(await scenario.check('a1'), []);
});

test('an isolated gateway starts no run on a withdrawn version', async () => {
  const {proxy} = scenario.system;
  const restore = proxy.cut(
    (from, to) => from !== 'caller' && (from === 'a4') !== (to === 'a4'),
  );
  const gateway = scenario.system.getCallerAddress('a4');
  await using caller = scenario.createCaller();
  await scenario.withdraw('draft/small', 'a1');
  const record = await caller.sendOnce({key: 'iso-1', content: 'x'}, gateway);
  assert.is(record.outcome, 'not-run', record.code);
  restore();
  await scenario.system.waitForHost('a4');
  // Its peer links may take some time to reconnect.
  await waitFor('a4 answers again', async () => {
    const key = `iso-${scenario.calls.length}`;
    const later = await caller.sendOnce({key, content: 'x'}, gateway);
    if (later.outcome !== 'answered') return false;
    assert.is(later.version, 'draft/large', later.code);
    return true;
  });
  assert.equal(await scenario.check('a1'), []);
});

test('an isolated leader is replaced and can change nothing', async () => {
  const {proxy} = scenario.system;
  const leader = await scenario.system.findLeader();
  const others = ['a1', 'a2', 'a3'].filter(host => host !== leader);
  const restore = proxy.cut(
    (from, to) => (from === leader) !== (to === leader),
  );
  await waitFor('another leads', async () => {
    const status = await scenario.system.readStatus(others[0] ?? '');
    return status.control?.leader !== leader;
  });
  const version = await scenario.apply({}, others[0]);
  const late = scenario.applyStale(version - 1, leader);
  restore();
  assert.is((await late).code, 1);
  await scenario.system.waitForHost(leader);
  assert.equal(await scenario.check(leader), []);
});

test('all daemons restart within 20 s after hundreds of changes', async () => {
  const accepted = await scenario.applyMany(300);
  // A declaration that arrives after a higher version number is refused.
  assert.ok(accepted >= 200, `${accepted} of 300 were accepted`);
  const [version] = await readVersions();
  const hosts = [...scenario.system.daemons.keys()];
  await Promise.all(
    hosts.map(host => scenario.system.daemons.get(host)?.kill()),
  );
  const startedAt = Date.now();
  await Promise.all(hosts.map(restart));
  const seconds = (Date.now() - startedAt) / 1_000;
  assert.ok(seconds < 20, `the restart took ${seconds} s`);
  assert.equal(
    await readVersions(),
    hosts.map(() => version),
  );
  assert.equal(await scenario.check('a1'), []);
});

test('a second disk loss right after a repair loses no data', async () => {
  const {system} = scenario;
  const version = await scenario.apply();
  {
    await using _load = scenario.startLoad(11);
    await scenario.waitForAnswers(20);
    for (const host of ['a1', 'a2']) {
      await system.daemons.get(host)?.kill();
      await system.loseDisk(host);
      await restart(host);
      await scenario.waitForRepair();
      await scenario.waitForAnswers(20);
    }
  }
  assert.equal(await readVersions(), [version, version, version, version]);
  assert.equal(await scenario.check('a1'), []);
  assert.equal(await scenario.check('a2'), []);
});

test.run();
