import assert from 'node:assert/strict';
import {test} from 'uvu';
import {createGatewayReport} from '../core/gateway_report_fake.ts';
import {FakeCores} from './cores_fake.ts';

// Guards against an acknowledgement that some gateways do not obey yet.
test('a change is confirmed once the last gateway has it', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  cores.follow('c1', 'g1', {configuration: 2});
  cores.follow('c2', 'g2', {configuration: 1});
  const change = cores.start(2);
  await cores.clock.advance(300);
  assert.equal(change.outcome, null);
  cores.follow('c2', 'g2', {configuration: 2});
  await cores.clock.advance(100);
  assert.deepEqual(change.outcome, {isHeld: true, behind: []});
});

// Guards against a herd of endpoints that leave, each of which asked all core daemons
// on its own until they had no time for the gateways' calls.
test('changes that wait together share their questions', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  cores.follow('c2', 'g1', {configuration: 2});
  const changes = [];
  for (let index = 0; index < 60; index++) {
    changes.push(cores.start(0, [`e${index}`]));
    await cores.clock.advance(5);
  }
  await cores.clock.advance(60);
  const endpoints = cores.get('c2').state.endpoints.revision;
  cores.follow('c2', 'g1', {configuration: 2, endpoints});
  await cores.clock.advance(200);
  assert.ok(changes.every(({outcome}) => outcome?.isHeld));
  assert.ok(changes.every(({outcome}) => outcome?.behind.length === 0));
  const asked = cores.calls.filter(address => address === 'c3');
  assert.ok(asked.length <= 30, `${asked.length} calls`);
});

// Guards against departures that most core daemons do not get in time, since they
// wait for questions that are held or late.
test('a change is asked for while other questions are held', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  cores.follow('c2', 'slow', {configuration: 1});
  for (let index = 0; index < 4; index++) {
    cores.start(2, [`e${index}`]);
    await cores.clock.advance(30);
  }
  await cores.clock.advance(10);
  const {endpoints} = cores.get('c2').state;
  assert.equal(endpoints.find('e3')?.state, 'draining');
});

// Guards against a change that counts as confirmed by what was asked for another one.
test('a departure is not confirmed by a gateway that has an earlier one', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  const first = cores.start(0, ['e1']);
  await cores.clock.advance(20);
  const {endpoints} = cores.get('c2').state;
  cores.follow('c2', 'g1', {configuration: 2, endpoints: endpoints.revision});
  await cores.clock.advance(200);
  assert.deepEqual(first.outcome, {isHeld: true, behind: []});
  const second = cores.start(0, ['e2']);
  await cores.clock.advance(1_000);
  assert.deepEqual(second.outcome, {isHeld: true, behind: ['g1']});
});

// Guards against each acknowledgement that waits until its bound while gateways are
// stopped and started in turn: they counted as in contact after they had ended.
test('a gateway that has stopped is not waited for', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  cores.follow('c2', 'g1', {configuration: 1});
  cores
    .get('c1')
    .state.gateways.recordRelayed([
      {report: createGatewayReport({address: 'g1'}), ageMs: 5},
    ]);
  await cores.clock.advance(10);
  cores.stop('c2', 'g1', {configuration: 1});
  const stopped = createGatewayReport({address: 'g1', stopped: true});
  cores.get('c1').state.gateways.recordRelayed([{report: stopped, ageMs: 0}]);
  const change = cores.start(2);
  await cores.clock.advance(100);
  assert.deepEqual(change.outcome, {isHeld: true, behind: []});
});

// Guards against one gateway that holds up the changes of all others.
test('a gateway that is gone is not waited for, another one up to the bound', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  cores.follow('c2', 'gone', {configuration: 1});
  await cores.clock.advance(1_600);
  const first = cores.start(2);
  await cores.clock.advance(100);
  assert.deepEqual(first.outcome, {isHeld: true, behind: []});
  cores.follow('c2', 'slow', {configuration: 1});
  const second = cores.start(2);
  await cores.clock.advance(1_000);
  assert.deepEqual(second.outcome, {isHeld: true, behind: ['slow']});
  assert.ok(second.tookMs <= 700, `${second.tookMs} ms`);
});

// Guards against a storm of changes that keeps the core busy with questions: the
// daemons whose followers have confirmed were asked again every 25 ms.
test('a daemon whose followers have confirmed is asked seldom', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  cores.follow('c2', 'slow', {configuration: 1});
  cores.follow('c3', 'g1', {configuration: 2});
  cores.start(2);
  await cores.clock.advance(1_000);
  const asked = cores.calls.filter(address => address === 'c3');
  assert.ok(asked.length <= 5, `${asked.length} calls`);
});

// Guards against a restarted gateway that counts as informed: its run before was.
test('a confirmation of an earlier run of a gateway does not count', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  cores.follow('c1', 'g1', {configuration: 2});
  await cores.clock.advance(50);
  cores.follow('c2', 'g1', {configuration: 0});
  const change = cores.start(2);
  await cores.clock.advance(400);
  assert.equal(change.outcome, null);
  cores.follow('c2', 'g1', {configuration: 2});
  await cores.clock.advance(100);
  assert.deepEqual(change.outcome, {isHeld: true, behind: []});
});

// Guards against a gateway that is waited for at the daemon that it left.
test('a gateway that left counts where it is, and once', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  cores.follow('c2', 'g1', {configuration: 1});
  const change = cores.start(2);
  cores.follow('c3', 'g1', {configuration: 2});
  await cores.clock.advance(20);
  // On its way since before the gateway knew of the change.
  cores.follow('c2', 'g1', {configuration: 1, leaves: true});
  assert.equal(cores.get('c2').followers.count(), 0);
  assert.equal(cores.get('c3').followers.count(), 1);
  await cores.clock.advance(200);
  assert.deepEqual(change.outcome, {isHeld: true, behind: []});
});

// Guards against a departure that waits for a gateway which has confirmed it: its call
// to the daemon that it left seems to be later, since replies from there take longer.
test('a gateway that moved to a near daemon counts as having what it told there', async () => {
  const cores = new FakeCores(['c1', 'c2', 'far']);
  cores.get('far').replyMs = 60;
  const call = {configuration: 2, run: 'g1/1'};
  cores.follow('far', 'g1', call);
  const change = cores.start(0, ['e1']);
  await cores.clock.advance(20);
  const endpoints = cores.get('c2').state.endpoints.revision;
  cores.follow('c2', 'g1', {...call, endpoints});
  await cores.clock.advance(280);
  assert.deepEqual(change.outcome, {isHeld: true, behind: []});
});

// Guards against a departure that waits for a gateway which has confirmed it, since
// that calls a daemon anew to which it may move.
test('a gateway has what it confirmed while it tries another daemon', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  const call = {configuration: 2, run: 'g1/1'};
  cores.follow('c2', 'g1', call);
  cores.follow('c1', 'g2', {configuration: 2, run: 'g2/1'});
  const change = cores.start(0, ['e1']);
  await cores.clock.advance(20);
  const endpoints = cores.get('c2').state.endpoints.revision;
  cores.follow('c2', 'g1', {...call, endpoints});
  await cores.clock.advance(1);
  cores.follow('c3', 'g1', {...call, epoch: ''});
  // c3, which is asked again after 120 ms, holds that question for 150 ms.
  await cores.clock.advance(380);
  assert.equal(change.outcome, null);
  const revision = cores.get('c1').state.endpoints.revision;
  const confirmed = {configuration: 2, endpoints: revision, run: 'g2/1'};
  cores.follow('c1', 'g2', confirmed);
  await cores.clock.advance(50);
  assert.deepEqual(change.outcome, {isHeld: true, behind: []});
});

// Guards against a restarted gateway that counts as informed by what the run before
// had confirmed.
test('a new run of a gateway confirms a departure anew', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  cores.follow('c2', 'g1', {configuration: 2, run: 'g1/1'});
  const first = cores.start(0, ['e1']);
  await cores.clock.advance(20);
  const {endpoints} = cores.get('c2').state;
  const call = {configuration: 2, endpoints: endpoints.revision};
  cores.follow('c2', 'g1', {...call, run: 'g1/1'});
  await cores.clock.advance(280);
  assert.deepEqual(first.outcome, {isHeld: true, behind: []});
  cores.follow('c3', 'g1', {configuration: 2, epoch: '', run: 'g1/2'});
  const second = cores.start(0, ['e1']);
  await cores.clock.advance(1_000);
  assert.deepEqual(second.outcome, {isHeld: true, behind: ['g1']});
});

test('a confirmation of another run of a core daemon does not count', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  cores.follow('c2', 'g1', {configuration: 2, endpoints: 90, epoch: 'old'});
  const change = cores.start(0, ['e1']);
  await cores.clock.advance(300);
  assert.equal(change.outcome, null);
  const endpoints = cores.get('c2').state.endpoints.revision;
  cores.follow('c2', 'g1', {configuration: 2, endpoints});
  await cores.clock.advance(100);
  assert.deepEqual(change.outcome, {isHeld: true, behind: []});
});

// Guards against a gateway that follows a daemon which is behind the leader.
test('followers of a core daemon that lags are waited for', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  cores.get('c3').configuration.revision = 1;
  cores.follow('c3', 'g1', {configuration: 1});
  const change = cores.start(2);
  await cores.clock.advance(1_000);
  assert.deepEqual(change.outcome, {isHeld: true, behind: ['g1']});
});

// Guards against a departure that is lost with the daemon that acknowledged it.
test('a departure is held by a majority before it is acknowledged', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  cores.get('c2').isDown = true;
  const change = cores.start(0, ['e1']);
  await cores.clock.advance(1_000);
  assert.equal(change.outcome?.isHeld, true);
  assert.equal(cores.get('c3').state.endpoints.find('e1')?.state, 'draining');
  const [relayed] = cores.get('c3').state.takePendingReports();
  assert.equal(relayed?.state, 'draining');
});

test('a departure that no other daemon has is not acknowledged', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  cores.get('c2').isDown = true;
  cores.get('c3').isDown = true;
  const change = cores.start(0, ['e1']);
  await cores.clock.advance(1_000);
  assert.equal(change.outcome?.isHeld, false);
});

// Guards against endpoints that get no acknowledgement while a build replaces an
// earlier one.
test('departures are passed on to daemons that do not know the call', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  cores.get('c2').isEarlier = true;
  cores.get('c3').isEarlier = true;
  const change = cores.start(0, ['e1']);
  await cores.clock.advance(1_000);
  assert.equal(change.outcome?.isHeld, true);
  assert.equal(cores.get('c3').state.endpoints.find('e1')?.state, 'draining');
});

test.run();
