import assert from 'node:assert/strict';
import {test} from 'uvu';
import {FakeCores} from './cores_fake.ts';

/** Lets the syncs of some disks wait for a time. */
function stallDisks(cores: FakeCores, names: string[], ms: number): void {
  const untilMs = cores.clock.monotonic() + ms;
  for (const name of names) cores.get(name).disk.stalledUntilMs = untilMs;
}

// Guards against departures that most daemons know and few disks hold.
test('a departure is on the disks of a majority before it is acknowledged', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  stallDisks(cores, ['c2', 'c3'], 2_000);
  const change = cores.start(0, ['e1']);
  await cores.clock.advance(1_000);
  assert.deepEqual(change.outcome, {isHeld: false, behind: []});
  assert.equal(cores.get('c3').state.endpoints.find('e1')?.state, 'draining');
  await cores.clock.advance(1_000);
  const repeated = cores.start(0, ['e1']);
  await cores.clock.advance(100);
  assert.deepEqual(repeated.outcome, {isHeld: true, behind: []});
});

// Guards against acknowledgements that wait for one disk while others hold the
// departure, also where gateways follow the daemon of that disk.
test('a departure does not wait for a disk that stalls', async () => {
  for (const name of ['c1', 'c2']) {
    const cores = new FakeCores(['c1', 'c2', 'c3']);
    stallDisks(cores, [name], 10_000);
    const change = cores.start(0, ['e1']);
    await cores.clock.advance(50);
    const {revision: endpoints} = cores.get('c2').state.endpoints;
    cores.follow('c2', 'g1', {configuration: 2, endpoints});
    await cores.clock.advance(1_000);
    assert.deepEqual(change.outcome, {isHeld: true, behind: []}, name);
    assert.ok(change.tookMs < 300, `${name}: ${change.tookMs} ms`);
  }
});

// Guards against endpoints that get no acknowledgement while daemons run beside
// those of a build that tells nothing of its disk.
test('a daemon that does not tell of its disk counts as a holder', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  stallDisks(cores, ['c2', 'c3'], 10_000);
  for (const name of ['c2', 'c3']) cores.get(name).hidesDisk = true;
  const change = cores.start(0, ['e1']);
  await cores.clock.advance(1_000);
  assert.equal(change.outcome?.isHeld, true);
});

// Guards against changes of the configuration that wait for a disk which holds
// departures up.
test('a configuration does not wait for departures to be saved', async () => {
  const cores = new FakeCores(['c1', 'c2', 'c3']);
  stallDisks(cores, ['c1', 'c2', 'c3'], 10_000);
  const departure = cores.start(0, ['e1']);
  const change = cores.start(2);
  await cores.clock.advance(1_000);
  assert.equal(departure.outcome?.isHeld, false);
  assert.deepEqual(change.outcome, {isHeld: true, behind: []});
});

test.run();
